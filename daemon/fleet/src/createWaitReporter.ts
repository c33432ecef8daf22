import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

const FIRST_REPEAT_MS: Millis = 5_000
const MAX_REPEAT_MS: Millis = 300_000

/**
 * Returns a function to be called with the reason of each failed attempt: it reports a changed reason at once and an
 * unchanged one at intervals that double up to five minutes.
 */
export function createWaitReporter(clock: Clock, report: (reason: string) => void): (reason: string) => void {
  let reported: string | undefined
  let repeatMs = FIRST_REPEAT_MS
  let repeatAt = 0
  return (reason) => {
    const isChanged = reason !== reported
    if (!isChanged && clock.now() < repeatAt) return
    if (!isChanged) repeatMs = Math.min(repeatMs * 2, MAX_REPEAT_MS)
    reported = reason
    repeatAt = clock.now() + repeatMs
    report(reason)
  }
}
