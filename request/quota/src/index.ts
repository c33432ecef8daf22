/** Holds workspaces to their quotas over all entries. */
export { QuotaKeeper } from './quotaKeeper'
export type { QuotaKeeperOptions } from './quotaKeeper'
export { QuotaLedger } from './quotaLedger'
export type { QuotaLedgerOptions } from './quotaLedger'
export { quotaLimit } from './quotaLimit'
export { QUOTA_REPORT } from './quotaTypes'
export type { QuotaAnswer, QuotaGrant, QuotaReport, QuotaVerdict, Spent, SpentReport } from './quotaTypes'
export { readQuotaReport } from './readQuotaReport'
