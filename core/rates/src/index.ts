/** Sums and rates over time. */
export { DecayingSum } from './decayingSum'
export { WindowSum } from './windowSum'
