import { describe, expect, it } from 'vitest'
import type { PlaceAsk } from '../src'
import { PlacementQueue } from '../src/placementQueue'
import { ask } from './fixtures'

/** Creates a queue of requests that all arrived at time 0, after requests that ended at an even rate. */
function createQueue(names: string[], endsEveryMs: number) {
  const waiting = new PlacementQueue((one, now) => one.ask.targetMs - (now - one.since), 'returns-last')
  for (let at = -2_000; at <= 0; at += endsEveryMs) waiting.recordEnd('s', at)
  for (const request of names)
    waiting.add({ ask: ask(request), since: 0, hasProspect: false, resolve: () => undefined })
  return waiting
}

describe('PlacementQueue', () => {
  it('removes no request before it is due for a decision', () => {
    expect(createQueue(['a', 'b'], 10_000).removeHopeless(149)).toEqual([])
  })

  it('keeps only as many requests as have a placement in sight, the oldest first', () => {
    const waiting = createQueue(['a', 'b', 'c', 'd', 'e', 'f'], 200)
    const sent = waiting.removeHopeless(150).map((one) => one.ask.request)
    expect(sent.length).toBeGreaterThan(0)
    expect(sent.length).toBeLessThan(6)
    expect(sent).toEqual(['a', 'b', 'c', 'd', 'e', 'f'].slice(-sent.length))
  })

  it('decides once per request: one that was kept is not removed later', () => {
    const waiting = createQueue(['a'], 100)
    expect(waiting.removeHopeless(150)).toEqual([])
    expect(waiting.removeHopeless(880)).toEqual([])
    expect(waiting.size).toBe(1)
  })

  it('counts only waiting requests of the same service', () => {
    const waiting = createQueue([], 100)
    for (const request of ['x', 'y', 'z', 'u', 'v', 'w'])
      waiting.add({
        ask: ask(request, { service: 'other' }),
        since: 0,
        hasProspect: false,
        resolve: () => undefined,
      })
    waiting.add({ ask: ask('a'), since: 10, hasProspect: false, resolve: () => undefined })
    const sent = waiting.removeHopeless(170).map((one) => one.ask.request)
    expect(sent).not.toContain('a')
    expect(sent).toContain('x')
  })

  it('orders requests whose sending failed first in their group, since their prompt is most likely cached', () => {
    const waiting = new PlacementQueue((one) => one.ask.targetMs, 'returns-last')
    const add = (request: string, fields: Partial<PlaceAsk>, since: number) =>
      waiting.add({ ask: ask(request, fields), since, hasProspect: false, resolve: () => undefined })
    add('late', { targetMs: -100 }, 0)
    add('new', {}, 1)
    add('back', { isReturn: true }, 2)
    add('late, failed', { targetMs: -100, except: ['d0'] }, 3)
    add('failed', { except: ['d0'] }, 4)
    const order = waiting.inOrder(5).map((one) => one.ask.request)
    expect(order).toEqual(['failed', 'new', 'back', 'late, failed', 'late'])
  })

  it('orders requests whose answer has begun first, even late ones', () => {
    const waiting = new PlacementQueue((one) => one.ask.targetMs, 'returns-last')
    const add = (request: string, fields: Partial<PlaceAsk>, since: number) =>
      waiting.add({ ask: ask(request, fields), since, hasProspect: false, resolve: () => undefined })
    add('new', {}, 0)
    add('read', { isPrefilled: true }, 1)
    add('begun', { targetMs: -4_000, promptMs: 0, isBegun: true }, 2)
    expect(waiting.inOrder(3).map((one) => one.ask.request)).toEqual(['begun', 'read', 'new'])
    expect(waiting.removeHopeless(10_000).map((one) => one.ask.request)).not.toContain('begun')
  })
})
