import { GatewayRetryBudget } from '@forkstage/gateway'
import type { MachineContext } from './machineContext'

const SECOND_MS = 1_000

/** Creates the retry budget of an entry, which is its share of the one of all entries. */
export function createRetryBudget({ settings, clock }: MachineContext, entries: () => number) {
  return new GatewayRetryBudget({
    clock,
    share: settings.retry.share,
    slack: settings.retry.slack,
    windowMs: settings.retry.window_s * SECOND_MS,
    entries,
  })
}
