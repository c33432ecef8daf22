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
  it('keeps one endpoint free, and lets one content run there at a time once it is empty', () => {
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

  it('takes a run for over that nobody has told of for two seconds', () => {
    const { scheduler, time } = newScheduler()
    scheduler.ask(ASK)
    time.now = 500
    scheduler.ask(ASK)
    time.now = 2_499
    expect(scheduler.ask(OTHER)).toMatchObject({ type: 'later' })
    time.now = 2_500
    expect(scheduler.ask(OTHER)).toMatchObject({ type: 'granted' })
  })

  it('takes another endpoint where that one has ended, and lets it go where nobody asks', () => {
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

  it('keeps none free while two others would not stand beside it', () => {
    const { scheduler, ended } = newScheduler()
    ended.add('p1').add('p2')
    expect(scheduler.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 1_000 })
    expect(scheduler.endpoints).toEqual([])
  })

  it('lets a content run anywhere whose service has too few endpoints for that', () => {
    expect(newScheduler(['p1', 'p2']).scheduler.ask(ASK)).toEqual({ type: 'anywhere' })
  })

  it('lets all go when another machine leads', () => {
    const { scheduler, reserved } = newScheduler()
    scheduler.ask(ASK)
    scheduler.clear()
    scheduler.clear()
    expect(reserved).toEqual([['p1'], []])
  })

  // Guards against runs of one content side by side that come to three crashes before the first is confirmed.
  it('gives one request at a time the turn of a content, until that ends or takes too long', () => {
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

  it('reserves no endpoint for a content while another run of it is under way, and gives no turn to what must be isolated', () => {
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
