import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { Topology } from '@forkstage/topology'
import { createSilentLogger } from '@forkstage/logger'
import { EndpointPool, EventSplitter, judgeAnswer, GatewayRetryBudget } from '../src'
import { TEST_WIRE } from './testWire'

describe('EventSplitter', () => {
  it('returns the same events for any chunking and buffers an incomplete one', () => {
    const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c'
    const cuts = fc.array(fc.integer({ min: 1, max: text.length - 1 }), { maxLength: 10 })
    fc.assert(
      fc.property(cuts, (places) => {
        const splitter = new EventSplitter()
        const sorted = [0, ...[...places].sort((left, right) => left - right), text.length]
        const events = sorted
          .slice(1)
          .flatMap((end, index) => splitter.push(Buffer.from(text.slice(sorted[index], end))))
        expect(events.map((event) => event.id)).toEqual([1, 2, undefined])
        expect(Buffer.concat([...events.map((event) => event.bytes), splitter.unfinished]).toString()).toBe(
          text,
        )
        expect(splitter.unfinished.toString()).toBe('id: 3\ndata: c')
      }),
    )
  })
})

describe('judgeAnswer', () => {
  const judge = (status: number, headers: Record<string, string>) =>
    judgeAnswer(
      { status, headers, rawHeaders: [], isFramed: true },
      { id: 'r1', instance: 'i-1' },
      TEST_WIRE.headers,
    )

  it.each([
    [200, { 'x-id': 'r1', 'x-stamp': 's' }, 'answer'],
    [200, { 'x-id': 'r1' }, 'foreign'],
    [200, { 'x-id': 'r2', 'x-stamp': 's' }, 'foreign'],
    [500, { 'x-id': 'r1', 'x-stamp': 's' }, 'answer'],
    [503, { 'x-not-run': '1' }, 'not-run'],
    [503, { 'x-id': 'r1', 'x-stamp': 's' }, 'answer'],
    [400, {}, 'foreign'],
    [421, { 'x-instance': 'i-2' }, 'other-instance'],
    [421, {}, 'misdirected'],
    [421, { 'x-instance': 'i-1' }, 'not-run'],
  ] as const)('%i with %o is %s', (status, headers, verdict) => {
    expect(judge(status, headers)).toBe(verdict)
  })
})

describe('GatewayRetryBudget', () => {
  it('counts granted and denied sendings', () => {
    const clock = new ManualClock()
    const budget = new GatewayRetryBudget({ clock, share: 0, slack: 4, windowMs: 10_000, entries: () => 1 })
    for (let count = 0; count < 5; count += 1) budget.take('s')
    expect(budget.counts).toEqual({ taken: 2, denied: 3 })
  })

  it('keeps all entries together within share and slack in any window', () => {
    const gaps = fc.array(fc.integer({ min: 0, max: 900 }), { minLength: 50, maxLength: 200 })
    fc.assert(
      fc.property(gaps, (steps) => {
        const clock = new ManualClock()
        const options = { clock, share: 0.2, slack: 20, windowMs: 10_000, entries: () => 4 }
        const entries = Array.from({ length: 4 }, () => new GatewayRetryBudget(options))
        const requests: number[] = []
        const extras: number[] = []
        steps.forEach((gap, index) => {
          clock.advance(gap)
          const entry = entries[index % 4]!
          entry.recordRequest('s')
          requests.push(clock.now())
          while (entry.take('s')) extras.push(clock.now())
        })
        for (const end of extras) {
          const inWindow = (times: number[]) =>
            times.filter((time) => time > end - 10_000 && time <= end).length
          expect(inWindow(extras)).toBeLessThanOrEqual(0.2 * inWindow(requests) + 20)
        }
      }),
      { numRuns: 30 },
    )
  })

  it('grants a new entry no more than its part of the slack', () => {
    const clock = new ManualClock()
    const budget = new GatewayRetryBudget({
      clock,
      share: 0.2,
      slack: 40,
      windowMs: 10_000,
      entries: () => 10,
    })
    expect([1, 2, 3].map(() => budget.take('s'))).toEqual([true, true, false])
  })
})

describe('EndpointPool', () => {
  const base = { address: 'a:1', service: 's', zone: 'z', slots: 4, models: [], sequence: 1 }

  function pool(barred: string[] = []) {
    const clock = new ManualClock()
    const made = new EndpointPool({
      zone: 'z',
      isBarred: ({ id }) => barred.includes(id),
      clock,
      random: () => 0,
      logger: createSilentLogger(),
    })
    made.update([
      { ...base, id: 'i-1', state: 'ready' },
      { ...base, id: 'i-2', address: 'b:1', state: 'ready' },
    ])
    return { clock, pool: made, ids: () => made.candidates('s').map((one) => one.endpoint.id) }
  }

  it('ejects an unreachable endpoint, for longer each time, and restores it afterwards', () => {
    const { clock, pool: made, ids } = pool()
    const one = made.get('i-1')!
    made.recordSend(one)
    made.recordEnd(one, 'unreachable', 5)
    expect(ids()).toEqual(['i-2'])
    clock.advance(1_000)
    expect(ids()).toEqual(['i-1', 'i-2'])
    made.recordSend(one)
    made.recordEnd(one, 'unreachable', 5)
    clock.advance(1_000)
    expect(ids()).toEqual(['i-2'])
  })

  it('uses another region only if the wait nearby exceeds the network delay', () => {
    const topology = new Topology({ z: 'west', y: 'west', e: 'east' })
    const options = { zone: 'z', clock: new ManualClock(), random: () => 0, logger: createSilentLogger() }
    const made = new EndpointPool({ ...options, topology })
    made.update([
      { ...base, id: 'near', zone: 'y', state: 'ready' },
      { ...base, id: 'far', address: 'b:1', zone: 'e', state: 'ready' },
    ])
    const order: string[] = []
    for (let times = 0; times < 5; times += 1) {
      const one = made.leastLoaded(made.candidates('s'))!
      made.recordSend(one)
      order.push(one.endpoint.id)
    }
    expect(order).toEqual(['near', 'near', 'far', 'near', 'far'])
  })

  it('uses an engine of another region only if the one nearby holds one more request', () => {
    const topology = new Topology({ z: 'west', y: 'west', e: 'east' })
    const options = { zone: 'z', clock: new ManualClock(), random: () => 0, logger: createSilentLogger() }
    const made = new EndpointPool({ ...options, topology })
    made.update([
      { ...base, id: 'near', zone: 'y', state: 'ready' },
      { ...base, id: 'far', address: 'b:1', zone: 'e', state: 'ready' },
    ])
    const choose = (near?: string) => made.fewestTokens(made.candidates('s'), 1_000, near)!.endpoint.id
    expect([choose(), choose('e')]).toEqual(['near', 'far'])
    made.recordSend(made.get('near')!, 1_500)
    expect(choose()).toBe('far')
  })

  it('excludes barred endpoints even if there is no other, and keeps their state', () => {
    const barred = ['i-1']
    const { pool: made, ids } = pool(barred)
    made.recordSend(made.get('i-1')!)
    expect(ids()).toEqual(['i-2'])
    expect(made.isFullyBarred('s')).toBe(false)
    made.recordSend(made.get('i-2')!)
    made.recordEnd(made.get('i-2')!, 'unreachable', 5)
    expect(ids()).toEqual(['i-2'])
    barred.push('i-2')
    expect(ids()).toEqual([])
    expect([made.isFullyBarred('s'), made.isFullyBarred('other'), made.size]).toEqual([true, false, 2])
    barred.length = 0
    expect(ids()).toEqual(['i-1'])
    expect(made.get('i-1')!.inFlight).toBe(1)
  })

  it('uses ejected endpoints if there is no other', () => {
    const { pool: made, ids } = pool()
    for (const id of ['i-1', 'i-2']) {
      made.recordSend(made.get(id)!)
      made.recordEnd(made.get(id)!, 'unreachable', 5)
    }
    expect(ids()).toEqual(['i-1', 'i-2'])
  })

  it('excludes endpoints that drain or whose address another process owns', () => {
    const { pool: made, ids } = pool()
    made.update([{ ...base, id: 'i-1', state: 'draining', sequence: 2 }])
    made.recordSend(made.get('i-2')!)
    made.recordEnd(made.get('i-2')!, 'other-instance', 5)
    expect(ids()).toEqual([])
  })
})
