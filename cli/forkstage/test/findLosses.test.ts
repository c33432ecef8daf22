import { describe, expect, it } from 'vitest'
import { findLosses } from '../src/findLosses'
import type { LogLine } from '../src/traceRequest'

const OPTIONS = { windowMs: 2_000, targetMs: 900 }
const line = (time: number, event: string, fields: Record<string, unknown>): LogLine => ({
  time,
  box: 'b',
  event,
  fields,
})
const answered = (time: number, fields: Record<string, unknown>) =>
  line(time, 'request.answered', { status: 200, outcome: 'answered', sends: [], ...fields })
const decided = (time: number, decoders: number, readers: number, request = 'any') =>
  line(time, 'place.decided', { request, engines: { decoders, readers } })
const step = (name: string, outcome: string) => ({ step: name, outcome })

describe('findLosses', () => {
  it('distinguishes a peak beyond the capacity of all engines from missing engines', () => {
    const refusal = { status: 503, outcome: 'no room in sight' }
    const rows = findLosses(
      [
        decided(0, 4, 2, 'r1'),
        answered(100, { request: 'r1', ...refusal }),
        decided(2_100, 3, 1, 'r2'),
        answered(2_200, { request: 'r2', ...refusal }),
        answered(2_300, {}),
      ],
      OPTIONS,
    )
    expect(rows).toEqual([
      expect.objectContaining({ fromMs: 0, answered: 1, causes: { 'beyond the engines': 1 } }),
      expect.objectContaining({
        fromMs: 2_000,
        answered: 2,
        causes: { 'engines missing': 1 },
        engines: { decoders: 3, readers: 1 },
      }),
    ])
  })

  it.each([
    [{ status: 503, outcome: "this entry's share is full" }, 'no leader'],
    [{ status: 503, outcome: 'no endpoint' }, 'just started'],
    [{ status: 503, outcome: 'no room in time' }, 'beyond the plain endpoints'],
    [{ status: 503, outcome: 'no repeated sending is left' }, 'allowance used up'],
    [{ status: 200, outcome: 'cut: no repeated sending is left' }, 'allowance used up'],
    [{ status: 504, outcome: 'the time is up' }, 'time up'],
    [{ status: 502, outcome: 'read ECONNRESET', sends: [step('plain', 'failed')] }, 'cut at the endpoint'],
    [{ firstEventMs: 901 }, 'late'],
    [{ status: 502, outcome: 'something else' }, 'other'],
  ])('classifies %o as "%s"', (fields, cause) => {
    expect(findLosses([answered(0, fields)], OPTIONS)[0]!.causes).toEqual({ [cause]: 1 })
  })

  it('counts no loss for good answers, callers that had disconnected and requests without a route', () => {
    const rows = findLosses(
      [
        answered(0, { firstEventMs: 900 }),
        answered(1, { outcome: 'caller gone', status: 0 }),
        answered(2, { outcome: 'no route', status: 404 }),
      ],
      OPTIONS,
    )
    expect(rows).toEqual([expect.objectContaining({ answered: 2, causes: {} })])
  })

  it('counts wasted prefill steps, leader changes and placements without the leader', () => {
    const rows = findLosses(
      [
        answered(0, { sends: [step('prefill', 'ok'), step('decode', 'failed'), step('prefill', 'ok')] }),
        answered(1, { sends: [step('prefill', 'ok'), step('decode', 'ok')] }),
        line(2, 'replica.role', { role: 'leader' }),
        line(3, 'replica.role', { role: 'follower' }),
        line(4, 'place.alone', {}),
      ],
      OPTIONS,
    )
    expect(rows).toEqual([expect.objectContaining({ readInVain: 2, leaders: 1, alone: 1 })])
  })
})
