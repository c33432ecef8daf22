import type { RelayResult } from './relayParts'

const ANSWERED = 'answered'

/** Whether an endpoint ran the request successfully; one that fails it may not have begun. */
export function wasRunInFull({ status, outcome, sends }: RelayResult): boolean {
  return status >= 200 && status < 300 && outcome === ANSWERED && sends.length > 0
}
