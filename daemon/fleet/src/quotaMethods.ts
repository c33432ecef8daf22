import type { PeerMethod } from '@forkstage/peer-rpc'
import { QUOTA_REPORT, readQuotaReport, type QuotaAnswer, type QuotaLedger } from '@forkstage/quota'

/**
 * Returns the method by which entries report quota use. Only a leader that holds its lease grants quota; without the lease,
 * another leader may be granting the same.
 */
export function quotaMethods(ledger: QuotaLedger, isLeader: () => boolean): Record<string, PeerMethod> {
  return {
    [QUOTA_REPORT]: (raw: unknown): QuotaAnswer => {
      const report = readQuotaReport(raw)
      return report !== undefined && isLeader() ? ledger.applyReport(report) : {}
    },
  }
}
