import { describe, expect, it } from 'vitest'
import { createSilentLogger } from '@forkstage/logger'
import { EndpointPool, type RelayParts, type SendOutcome } from '../src'
import { isVersionConfirmed } from '../src/isVersionConfirmed'
import { endpointWithDefaults } from './rowsWithDefaults'

/** Whether the version of an engine counts some time after a sending there has ended. */
function confirmedAfter(outcome: SendOutcome, forMs: number, born?: number): boolean {
  const time = { now: 10_000 }
  const clock = {
    now: () => time.now,
    suspendedAt: () => -Infinity,
    wallNow: () => 0,
    after: () => () => undefined,
  }
  const pool = new EndpointPool({ zone: 'z', clock, random: () => 0, logger: createSilentLogger() })
  const endpoint = endpointWithDefaults({ stage: 'decode', softwareVersion: 'v1', born }, 0)
  pool.update([endpoint])
  const one = pool.get(endpoint.id)!
  pool.recordSend(one)
  pool.recordEnd(one, outcome, 1)
  time.now += forMs
  return isVersionConfirmed({ pool, clock } as unknown as RelayParts, endpoint)
}

describe('isVersionConfirmed', () => {
  it.each(['failed', 'unreachable', 'no-path'] as const)(
    'doubts an engine that may restart under its name for a second after it was lost (%s)',
    (outcome) => {
      expect(confirmedAfter(outcome, 999, 1)).toBe(false)
      expect(confirmedAfter(outcome, 1_000, 1)).toBe(true)
    },
  )

  it('does not doubt one that answered or was full, or whose id is that of one process', () => {
    for (const outcome of ['ok', 'full', 'cancelled'] as const)
      expect(confirmedAfter(outcome, 0, 1)).toBe(true)
    expect(confirmedAfter('failed', 0)).toBe(true)
  })
})
