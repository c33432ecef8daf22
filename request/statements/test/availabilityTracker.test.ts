import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { RETRY_AFTER_REASON, LEAVING_REASON, AvailabilityTracker } from '../src'

function start() {
  const clock = new ManualClock(1_000)
  const lines: object[] = []
  const logger = {
    ...createSilentLogger(),
    info: (event: string, fields: object) => void lines.push({ event, ...fields }),
  }
  const tracker = new AvailabilityTracker({ clock, logger: logger as ReturnType<typeof createSilentLogger> })
  const requestBackoff = (forMs: number, id = 'i-1') =>
    tracker.recordRetryAfter(id, { type: 'rest', forMs }, 'r1')
  return { clock, lines, tracker, requestBackoff }
}

describe('AvailabilityTracker', () => {
  it('keeps an endpoint unavailable until the end of its last-ending backoff, despite shorter ones since', () => {
    const { clock, tracker, requestBackoff } = start()
    requestBackoff(3_000)
    clock.advance(1_000)
    requestBackoff(500)
    requestBackoff(0)
    expect(tracker.unavailability('i-1')).toEqual({ untilMs: 4_000, reason: RETRY_AFTER_REASON })
    requestBackoff(5_000)
    expect(tracker.unavailability('i-1')?.untilMs).toBe(7_000)
    expect(tracker.unavailableIds).toEqual(['i-1'])
    clock.advance(6_000)
    expect(tracker.unavailableIds).toEqual([])
    expect(tracker.unavailability('i-2')).toBeUndefined()
  })

  it('caps a backoff at ten minutes', () => {
    const { clock, tracker, requestBackoff } = start()
    requestBackoff(1e12)
    clock.advance(600_000)
    expect(tracker.unavailableIds).toEqual([])
  })

  it('logs the start, a significant extension and the end of a backoff', () => {
    const { clock, lines, tracker, requestBackoff } = start()
    requestBackoff(3_000)
    clock.advance(200)
    requestBackoff(3_000)
    requestBackoff(9_000)
    clock.advance(10_000)
    tracker.sweep(() => true)
    tracker.sweep(() => true)
    expect(lines).toEqual([
      { event: 'endpoint.rest', endpoint: 'i-1', outcome: 'asked', request: 'r1', forMs: 3_000 },
      { event: 'endpoint.rest', endpoint: 'i-1', outcome: 'longer', request: 'r1', forMs: 9_000 },
      { event: 'endpoint.rest', endpoint: 'i-1', outcome: 'over', ageMs: 10_200 },
    ])
  })

  it('logs an unreadable Retry-After once per endpoint', () => {
    const { lines, tracker } = start()
    const unreadable = { type: 'unreadable', value: 'x'.repeat(100) } as const
    tracker.recordRetryAfter('i-1', unreadable, 'r1')
    tracker.recordRetryAfter('i-1', unreadable, 'r2')
    expect(lines).toEqual([
      {
        event: 'endpoint.rest',
        endpoint: 'i-1',
        outcome: 'unreadable',
        request: 'r1',
        value: 'x'.repeat(40),
      },
    ])
    expect(tracker.unavailableIds).toEqual([])
  })

  it('drops backoffs and leaving of incarnations that are no longer registered', () => {
    const { tracker, requestBackoff, lines } = start()
    requestBackoff(60_000)
    requestBackoff(60_000, 'i-2')
    tracker.recordLeaving('i-1', 'r1')
    tracker.recordLeaving('i-1', 'r2')
    expect(tracker.leavingSince('i-1')).toBe(1_000)
    expect(lines.filter((line) => 'event' in line && line.event === 'endpoint.leaving')).toHaveLength(1)
    tracker.sweep((id) => id === 'i-2')
    expect(tracker.unavailableIds).toEqual(['i-2'])
    expect(tracker.leavingCount).toBe(0)
  })

  it('sends one request at a time after a backoff until one succeeds', () => {
    const { clock, tracker, requestBackoff } = start()
    requestBackoff(3_000)
    clock.advance(3_000)
    expect(tracker.unavailability('i-1')).toBeUndefined()
    tracker.recordSent('i-1')
    expect(tracker.unavailability('i-1')).toEqual({ untilMs: 5_000, reason: RETRY_AFTER_REASON })
    clock.advance(1_000)
    expect(tracker.unavailability('i-1')).toBeUndefined()
    tracker.recordSent('i-1')
    tracker.recordSuccess('i-1')
    expect(tracker.unavailability('i-1')).toBeUndefined()
    tracker.recordSent('i-1')
    expect(tracker.unavailability('i-1')).toBeUndefined()
  })

  it('does not end a backoff on a success during it', () => {
    const { clock, tracker, requestBackoff } = start()
    requestBackoff(3_000)
    clock.advance(100)
    tracker.recordSuccess('i-1')
    expect(tracker.unavailability('i-1')?.untilMs).toBe(4_000)
  })

  it('returns the endpoint that becomes available first', () => {
    const { tracker, requestBackoff } = start()
    requestBackoff(3_000)
    requestBackoff(2_000, 'i-2')
    tracker.recordLeaving('i-3', 'r1')
    expect(tracker.earliestAvailable(['i-1', 'i-2', 'i-3'])).toEqual({
      untilMs: 3_000,
      reason: RETRY_AFTER_REASON,
    })
    expect(tracker.earliestAvailable(['i-1', 'i-4'])).toBeUndefined()
    expect(tracker.earliestAvailable([])).toBeUndefined()
    expect(tracker.earliestAvailable(['i-3'])).toEqual({ untilMs: Infinity, reason: LEAVING_REASON })
  })
})
