import { describe, expect, it } from 'vitest'
import { TrialScheduler } from '../src'

const ASK = { service: 's', content: 'a' }
const OTHER = { service: 's', content: 'b' }

function newScheduler(registered = ['p1', 'p2', 'p3', 'p4']) {
  const time = { now: 0 }
  const ended = new Set<string>()
  const suspects = new Set<string>()
  const reserved: string[][] = []
  const scheduler: TrialScheduler = new TrialScheduler({
    now: () => time.now,
    random: () => 0,
    registered: () => registered,
    hasCrashed: (id) => ended.has(id),
    isSuspect: (content) => suspects.has(content),
    onChange: () => reserved.push(scheduler.endpoints),
  })
  return { time, ended, suspects, reserved, scheduler, registered }
}

describe('TrialScheduler', () => {
  it('reserves one endpoint and runs one content at a time there once it has drained', () => {
    const { scheduler, time, reserved } = newScheduler()
    expect(scheduler.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 500 })
    expect(reserved).toEqual([['p1']])
    time.now = 499
    expect(scheduler.ask(OTHER)).toEqual({ type: 'later', retryAfterMs: 1 })
    time.now = 500
    expect(scheduler.ask(ASK)).toEqual({ type: 'granted', endpoint: 'p1', forMs: 2_000 })
    expect(scheduler.ask(OTHER)).toEqual({ type: 'later', retryAfterMs: 500 })
    scheduler.end({ ...OTHER, endpoint: 'p1' })
    expect(scheduler.ask(OTHER)).toMatchObject({ type: 'later' })
    scheduler.end({ ...ASK, endpoint: 'p1' })
    expect(scheduler.ask(OTHER)).toMatchObject({ type: 'granted' })
  })

  it('ends a run without a report after two seconds', () => {
    const { scheduler, time } = newScheduler()
    scheduler.ask(ASK)
    time.now = 500
    scheduler.ask(ASK)
    time.now = 2_499
    expect(scheduler.ask(OTHER)).toMatchObject({ type: 'later' })
    time.now = 2_500
    expect(scheduler.ask(OTHER)).toMatchObject({ type: 'granted' })
  })

  it('reserves another endpoint after a crash, and releases it once idle', () => {
    const { scheduler, time, ended, reserved } = newScheduler()
    scheduler.ask(ASK)
    ended.add('p1')
    expect(scheduler.ask(ASK)).toMatchObject({ type: 'later' })
    expect(scheduler.endpoints).toEqual(['p2'])
    time.now = 1_499
    scheduler.sweepExpired()
    expect(scheduler.endpoints).toEqual(['p2'])
    time.now = 1_500
    scheduler.sweepExpired()
    expect(reserved.at(-1)).toEqual([])
  })

  it('reserves none while fewer than two other endpoints are alive', () => {
    const { scheduler, ended } = newScheduler()
    ended.add('p1').add('p2')
    expect(scheduler.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 1_000 })
    expect(scheduler.endpoints).toEqual([])
  })

  it('lets a content run anywhere if its service has too few endpoints', () => {
    expect(newScheduler(['p1', 'p2']).scheduler.ask(ASK)).toEqual({ type: 'anywhere' })
  })

  it('releases all reservations when another machine leads', () => {
    const { scheduler, reserved } = newScheduler()
    scheduler.ask(ASK)
    scheduler.clear()
    scheduler.clear()
    expect(reserved).toEqual([['p1'], []])
  })

  // Guards against parallel runs of one content that reach three crashes before the first is confirmed.
  it('grants the turn of a content to one request at a time, until it ends or times out', () => {
    const { scheduler, time } = newScheduler()
    const [first, second] = [
      { ...ASK, turnOf: 'r1' },
      { ...ASK, turnOf: 'r2' },
    ]
    expect(scheduler.ask(first)).toEqual({ type: 'anywhere' })
    expect(scheduler.ask(second)).toEqual({ type: 'later', retryAfterMs: 50 })
    expect(scheduler.ask({ ...OTHER, turnOf: 'r3' })).toEqual({ type: 'anywhere' })
    expect(scheduler.ask(first)).toEqual({ type: 'anywhere' })
    scheduler.end(second)
    expect(scheduler.ask(second)).toMatchObject({ type: 'later' })
    scheduler.end(first)
    expect(scheduler.ask(second)).toEqual({ type: 'anywhere' })
    time.now = 999
    expect(scheduler.ask(first)).toMatchObject({ type: 'later' })
    time.now = 1_000
    expect(scheduler.ask(first)).toEqual({ type: 'anywhere' })
    expect(scheduler.endpoints).toEqual([])
  })

  it('reserves no endpoint for a content during its turn, and grants no turn to a content that must be isolated', () => {
    const { scheduler, suspects } = newScheduler()
    scheduler.ask({ ...ASK, turnOf: 'r1' })
    expect(scheduler.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 50 })
    expect(scheduler.endpoints).toEqual([])
    suspects.add('a')
    expect(scheduler.ask({ ...ASK, turnOf: 'r1' })).toEqual({ type: 'isolate' })
    scheduler.end({ ...ASK, turnOf: 'r1' })
    expect(scheduler.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 500 })
    expect(scheduler.endpoints).toEqual(['p1'])
  })
})
