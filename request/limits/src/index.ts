/** Holds all entries together to the rates that endpoints name. */
export { RateBook } from './rateBook'
export type { RateBookOptions, RateWord } from './rateBook'
