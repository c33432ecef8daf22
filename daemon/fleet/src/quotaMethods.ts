import type { PeerMethod } from '@forkstage/peer-rpc'
import { QUOTA_REPORT, readQuotaReport, type QuotaAnswer, type QuotaLedger } from '@forkstage/quota'

/** What entries call to tell of quotas. Only a machine that leads with its lease answers: another may be saying what is left. */
export function quotaMethods(ledger: QuotaLedger, isLeader: () => boolean): Record<string, PeerMethod> {
  return {
    [QUOTA_REPORT]: (raw: unknown): QuotaAnswer => {
      const report = readQuotaReport(raw)
      return report !== undefined && isLeader() ? ledger.applyReport(report) : {}
    },
  }
}
