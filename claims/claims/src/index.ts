/** Claims and outcomes of request keys. */
export { JournalMachine } from './journalMachine'
export { groupOfKey, JournalClient } from './journalClient'
export type { JournalClientOptions } from './journalClient'
export { createJournalMethods, startJournalTicker } from './journalTicker'
export type * from './claimTypes'
