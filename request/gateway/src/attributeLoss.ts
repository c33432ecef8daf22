import type { PooledEndpoint } from './pooledEndpoint'
import type { StreamResult } from './engineStream'
import type { ExchangeEnd } from './exchange'
import type { RelayParts } from './relayParts'
import { wasLostOnTheWay } from './wasLostOnTheWay'

/** Takes the blame for a broken stream off an engine whose connection was lost on the way. */
export async function attributeLoss(
  parts: RelayParts,
  at: PooledEndpoint,
  result: StreamResult,
  end: ExchangeEnd,
): Promise<StreamResult> {
  if (end.complete || result.attempt.type !== 'lost') return result
  return (await wasLostOnTheWay(parts, at, end)) ? { ...result, sendOutcome: 'no-path' } : result
}
