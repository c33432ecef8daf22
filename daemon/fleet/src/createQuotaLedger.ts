import type { FleetSettings } from '@forkstage/fleet-settings'
import { QuotaLedger, quotaLimit, type QuotaLedgerOptions } from '@forkstage/quota'
import type { RouteStore } from '@forkstage/routes'

const SECOND_MS = 1_000

/** Creates the ledger of quota that entries spend, with the workspace quotas of the route sheet in force. */
export function createQuotaLedger(
  settings: FleetSettings['quota'],
  routes: RouteStore,
  options: Pick<QuotaLedgerOptions, 'clock' | 'term' | 'entries'>,
): QuotaLedger {
  const windowMs = settings.window_s * SECOND_MS
  return new QuotaLedger({
    ...options,
    limit: (workspace) => {
      const quota = routes.current?.workspace(workspace)?.quota
      return quota && quotaLimit(quota, windowMs)
    },
    windowMs,
    tolerance: { over: settings.over, slack: settings.slack },
  })
}
