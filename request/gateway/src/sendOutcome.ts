import type { BrokenExchange } from './exchange'
import type { Verdict } from './judgeAnswer'

/**
 * Outcome of a send, for rating the instance. `silent`: this entry gave up because no answer came in time. `no-path`: the
 * send failed on the way, which says nothing about the instance.
 */
export type SendOutcome =
  'ok' | 'failed' | 'silent' | 'unreachable' | 'no-path' | 'other-instance' | 'full' | 'cancelled'

/** Returns the outcome of a send for which no connection was opened. */
export function unsentOutcome(end: Omit<BrokenExchange, 'sent'>): SendOutcome {
  if (end.isWithheld === true) return 'cancelled'
  if (end.hasNoPath === true) return 'no-path'
  return end.refused ? 'unreachable' : 'failed'
}

/** The outcome to record for an answer which proves that its request did not run, by the verdict on it. */
export const UNRUN_OUTCOMES: Partial<Record<Verdict, SendOutcome>> = {
  'other-instance': 'other-instance',
  // An endpoint that refuses requests must not look like the least loaded one.
  misdirected: 'failed',
  'not-run': 'full',
}
