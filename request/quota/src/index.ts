/** Enforces the quotas of workspaces over all entries. */
export { QuotaLimiter } from './quotaLimiter'
export type { QuotaLimiterOptions } from './quotaLimiter'
export { QuotaLedger } from './quotaLedger'
export type { QuotaLedgerOptions } from './quotaLedger'
export { quotaLimit } from './quotaLimit'
export { QUOTA_REPORT } from './quotaTypes'
export type {
  QuotaAnswer,
  QuotaGrant,
  QuotaReport,
  QuotaVerdict,
  QuotaCharge,
  SpentReport,
} from './quotaTypes'
export { readQuotaReport } from './readQuotaReport'
