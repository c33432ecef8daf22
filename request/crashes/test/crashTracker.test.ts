import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CrashTracker, readCrashRecords, type CrashRecord } from '../src'

const KEEP_MS = 60_000

function newTracker() {
  const time = { now: 0 }
  return { time, tracker: new CrashTracker({ now: () => time.now, ends: 3, keepMs: KEEP_MS }) }
}

const early = (...contents: string[]) => contents.map((content) => ({ content, isEarly: true }))
const late = (...contents: string[]) => contents.map((content) => ({ content, isEarly: false }))

describe('CrashTracker', () => {
  it('refuses a content after crashes of three incarnations, not of two', () => {
    const { tracker } = newTracker()
    tracker.recordCrash('l1', early('bad'))
    tracker.recordCrash('l2', early('bad'))
    tracker.recordCrash('l2', early('bad'))
    expect(tracker.refusalByBlame('bad')).toBeUndefined()
    tracker.recordCrash('l3', early('bad'))
    expect(tracker.refusalByBlame('bad')).toEqual({ ends: 3, leftMs: KEEP_MS })
    expect(tracker.countRefused()).toBe(1)
  })

  it('blames a crash on the content with the most crashes of those that were running', () => {
    const { tracker } = newTracker()
    tracker.recordCrash('l0', early('bad'))
    // Retried after each crash, each time at the endpoint that the bad content reaches next.
    for (const incarnation of ['l1', 'l2', 'l3']) tracker.recordCrash(incarnation, early('bad', 'unlucky'))
    expect(tracker.refusalByBlame('bad')).toBeDefined()
    expect(tracker.refusalByBlame('unlucky')).toBeUndefined()
  })

  it('counts crashes beside other contents in refusalByCrashCount, until the content is served or they expire', () => {
    const { tracker, time } = newTracker()
    tracker.recordCrash('l0', early('bad'))
    for (const incarnation of ['l1', 'l2']) tracker.recordCrash(incarnation, early('bad', 'other'))
    expect(tracker.refusalByCrashCount('other')).toBeUndefined()
    tracker.recordCrash('l3', early('bad', 'other'))
    expect(tracker.refusalByBlame('other')).toBeUndefined()
    expect(tracker.refusalByCrashCount('other')).toEqual({ ends: 3, leftMs: KEEP_MS })
    expect(tracker.refusalByCrashCount('never seen')).toBeUndefined()
    time.now = KEEP_MS
    expect(tracker.refusalByCrashCount('other')).toBeUndefined()
    time.now = 0
    tracker.recordServed('other')
    expect(tracker.refusalByCrashCount('other')).toBeUndefined()
  })

  it('refuses a content that never ran alone for a minute, then isolates it, which proves or clears it', () => {
    const time = { now: 0 }
    const tracker = new CrashTracker({ now: () => time.now, ends: 3, keepMs: 3_600_000 })
    for (const incarnation of ['l1', 'l2', 'l3'])
      tracker.recordCrash(incarnation, early(`bad ${incarnation}`, 'one', 'two'))
    expect(tracker.refusalByCrashCount('one')).toEqual({ ends: 3, leftMs: 60_000 })
    expect(tracker.isSuspect('one')).toBe(false)
    time.now = 60_000
    expect(tracker.refusalByCrashCount('one')).toBeUndefined()
    expect(tracker.isSuspect('one')).toBe(true)
    tracker.recordCrash('l4', early('one'))
    expect(tracker.refusalByCrashCount('one')).toEqual({ ends: 4, leftMs: 3_600_000 })
    tracker.recordServed('two')
    expect(tracker.isSuspect('two')).toBe(false)
    expect(tracker.refusalByCrashCount('two')).toBeUndefined()
  })

  it('counts only crashes at which it ran alone for a content that is served, before or after, at any machine', () => {
    const { tracker, time } = newTracker()
    tracker.recordServed('liked')
    time.now = 60_000
    for (const incarnation of ['l1', 'l2', 'l3', 'l4'])
      tracker.recordCrash(incarnation, early('bad', 'liked'))
    expect(tracker.refusalByCrashCount('bad')).toBeDefined()
    expect(tracker.refusalByCrashCount('liked')).toBeUndefined()
    expect(tracker.isSuspect('liked')).toBe(true)
    const replica = newTracker().tracker
    replica.merge(readCrashRecords(JSON.parse(JSON.stringify(tracker.changesSince(0)))))
    expect(replica.refusalByCrashCount('liked')).toBeUndefined()
    for (const incarnation of ['l5', 'l6', 'l7']) tracker.recordCrash(incarnation, early('liked'))
    expect(tracker.refusalByCrashCount('liked')).toMatchObject({ ends: 3 })
  })

  it('ignores responses that are more than a minute old', () => {
    const { tracker, time } = newTracker()
    tracker.recordServed('liked')
    time.now = 60_001
    for (const incarnation of ['l1', 'l2', 'l3']) tracker.recordCrash(incarnation, early('bad', 'liked'))
    expect(tracker.refusalByCrashCount('liked')).toMatchObject({ ends: 3 })
    const elsewhere = newTracker().tracker
    elsewhere.recordServed('liked')
    elsewhere.merge(tracker.changesSince(0))
    expect(elsewhere.refusalByCrashCount('liked')).toBeUndefined()
  })

  it('remembers a bounded number of served contents', () => {
    const { tracker } = newTracker()
    tracker.recordServed('first')
    for (let count = 0; count < 5_000; count += 1) tracker.recordServed(`other ${count}`)
    for (const incarnation of ['l1', 'l2', 'l3'])
      tracker.recordCrash(incarnation, early('bad', 'first', 'other 4999'))
    expect(tracker.refusalByCrashCount('first')).toBeDefined()
    expect(tracker.refusalByCrashCount('other 4999')).toBeUndefined()
  })

  it('blames the content that had just begun, if all have equally many crashes', () => {
    const { tracker } = newTracker()
    for (const incarnation of ['l1', 'l2', 'l3'])
      tracker.recordCrash(incarnation, [...early('bad'), ...late('running'), ...late('other')])
    expect(tracker.refusalByBlame('bad')).toBeDefined()
    expect(tracker.refusalByBlame('running')).toBeUndefined()
  })

  it('blames a content that crashes its endpoints late, once it has the most crashes', () => {
    const { tracker } = newTracker()
    for (const number of [1, 2, 3])
      tracker.recordCrash(`l${number}`, [...late('slow'), ...early(`new${number}`)])
    expect(tracker.refusalByBlame('slow')).toMatchObject({ ends: 3 })
    expect(tracker.countRefused()).toBe(1)
  })

  it('clears a content of its crashes before a complete response, and blames others for them', () => {
    const { tracker } = newTracker()
    for (const incarnation of ['l1', 'l2']) tracker.recordCrash(incarnation, early('good', 'bad'))
    expect(tracker.recordServed('good')).toHaveLength(1)
    expect(tracker.recordServed('good')).toEqual([])
    expect(tracker.recordServed('unheard of')).toEqual([])
    tracker.recordCrash('l3', early('good', 'bad'))
    expect(tracker.refusalByBlame('good')).toBeUndefined()
    expect(tracker.refusalByBlame('bad')).toMatchObject({ ends: 3 })
  })

  it('stops refusing a content after keepMs since the last crash, by the age that the reporter gives', () => {
    const { tracker, time } = newTracker()
    for (const incarnation of ['l1', 'l2', 'l3']) tracker.recordCrash(incarnation, early('bad'))
    time.now += KEEP_MS / 2
    const other = newTracker()
    other.tracker.merge(tracker.changesSince(0))
    expect(other.tracker.refusalByBlame('bad')).toEqual({ ends: 3, leftMs: KEEP_MS / 2 })
    other.time.now += KEEP_MS / 2
    expect(other.tracker.refusalByBlame('bad')).toBeUndefined()
  })

  it('returns the changes since a position, each once', () => {
    const { tracker } = newTracker()
    tracker.recordCrash('l1', early('a', 'b'))
    const { position } = tracker
    expect(tracker.changesSince(0).map(({ content }) => content)).toEqual(['a', 'b'])
    expect(tracker.changesSince(position)).toEqual([])
    tracker.recordCrash('l2', early('a'))
    expect(tracker.changesSince(position).map(({ content }) => content)).toEqual(['a'])
    expect(tracker.merge(tracker.changesSince(0))).toEqual([])
  })

  it('stays bounded and keeps refused contents', () => {
    const { tracker } = newTracker()
    for (const incarnation of ['l1', 'l2', 'l3']) tracker.recordCrash(incarnation, early('bad'))
    for (let number = 0; number < 2_500; number += 1) tracker.recordCrash(`x${number}`, early(`c${number}`))
    expect(tracker.size).toBeLessThanOrEqual(2_000)
    expect(tracker.refusalByBlame('bad')).toBeDefined()
  })

  it('converges whatever the order and number of merges', () => {
    const name = fc.constantFrom('a', 'b', 'c')
    const incarnation = fc.constantFrom('l1', 'l2', 'l3', 'l4')
    const record = fc.record({
      content: name,
      ended: fc.uniqueArray(incarnation),
      early: fc.uniqueArray(incarnation),
      served: fc.uniqueArray(incarnation),
      ageMs: fc.constant(0),
    })
    fc.assert(
      fc.property(fc.array(record, { maxLength: 12 }), fc.nat(), (records, turn) => {
        const [one, other] = [newTracker().tracker, newTracker().tracker]
        one.merge(records)
        const turned = records.map((_, index) => records[(index + turn) % records.length]!)
        for (const each of [...turned, ...records]) other.merge([each])
        for (const content of ['a', 'b', 'c'])
          expect(other.refusalByBlame(content)?.ends).toBe(one.refusalByBlame(content)?.ends)
      }),
    )
  })
})

describe('readCrashRecords', () => {
  it('returns valid records and skips everything else', () => {
    const good: CrashRecord = { content: 'a', ended: ['l'], early: [], served: [], ageMs: 1 }
    expect(readCrashRecords([good, { ...good, ageMs: '1' }, null, { content: 'a' }])).toEqual([good])
    fc.assert(
      fc.property(fc.anything(), (raw) => {
        const { tracker } = newTracker()
        tracker.merge(readCrashRecords(raw))
        tracker.merge(readCrashRecords([raw, good]))
        expect(tracker.refusalByBlame('a')).toBeUndefined()
        expect(tracker.size).toBeGreaterThan(0)
      }),
    )
  })
})

describe('CrashTracker with prompt parts', () => {
  const lost = (content: string, ...parts: string[]) => [{ content, isEarly: true, parts: parts.map(toPart) }]
  const toPart = (name: string) => `part-${name}`
  const refusal = (tracker: CrashTracker, ...parts: string[]) => tracker.refusalByParts(parts.map(toPart))

  it('refuses a part after three crashes under different contents, and nothing that was served beside it', () => {
    const { tracker } = newTracker()
    for (const number of [1, 2, 3]) {
      expect(refusal(tracker, 'sys', 'bad')).toBeUndefined()
      tracker.recordCrash(`l${number}`, lost(`c${number}`, 'sys', 'bad'))
      tracker.recordServed(toPart('sys'))
    }
    expect(refusal(tracker, 'sys', 'bad')).toEqual({ ends: 3, leftMs: KEEP_MS, part: toPart('bad') })
    expect(refusal(tracker, 'bad')).toMatchObject({ ends: 3 })
    expect(refusal(tracker, 'sys')).toBeUndefined()
    expect(refusal(tracker, 'sys', 'other')).toBeUndefined()
  })

  it('refuses only requests with all of the parts that came together at every crash', () => {
    const { tracker } = newTracker()
    for (const number of [1, 2, 3]) tracker.recordCrash(`l${number}`, lost(`c${number}`, 'sys', 'bad'))
    expect(refusal(tracker, 'sys', 'bad')).toBeDefined()
    expect(refusal(tracker, 'sys')).toBeUndefined()
    expect(refusal(tracker, 'bad')).toBeUndefined()
  })

  // Guards against a system prompt that is refused since several poison contents have it in common.
  it('refuses what nobody has been served with for two seconds only, and no more once it was served', () => {
    const time = { now: 0 }
    const tracker = new CrashTracker({ now: () => time.now, ends: 3, keepMs: 3_600_000 })
    for (const number of [1, 2, 3]) tracker.recordCrash(`l${number}`, lost(`poison${number}`, 'sys'))
    expect(refusal(tracker, 'sys')).toMatchObject({ leftMs: 2_000 })
    time.now = 2_000
    expect(refusal(tracker, 'sys')).toBeUndefined()
    tracker.recordCrash('l4', lost('poison4', 'sys'))
    expect(refusal(tracker, 'sys')).toMatchObject({ leftMs: 60_000 })
    tracker.recordServed(toPart('sys'))
    expect(refusal(tracker, 'sys')).toBeUndefined()
  })

  // Guards against refusals of what was served a moment before four contents crashed four endpoints.
  it('refuses a part that was served lately from five crashes on', () => {
    const { tracker } = newTracker()
    tracker.recordServed(toPart('sys'))
    for (const number of [1, 2, 3, 4]) tracker.recordCrash(`l${number}`, lost(`poison${number}`, 'sys'))
    expect(refusal(tracker, 'sys')).toBeUndefined()
    tracker.recordCrash('l5', lost('poison5', 'sys'))
    expect(refusal(tracker, 'sys')).toMatchObject({ ends: 5 })
  })

  it('is not cleared by an answer that had begun before the crash', () => {
    const { tracker, time } = newTracker()
    time.now = 1_000
    tracker.recordCrash('l1', lost('c1', 'sys'))
    time.now = 1_100
    tracker.recordServed(toPart('sys'), 250)
    expect(tracker.countUnclearedCrashes(toPart('sys'))).toBe(1)
    time.now = 1_300
    tracker.recordServed(toPart('sys'), 250)
    expect(tracker.countUnclearedCrashes(toPart('sys'))).toBe(0)
  })

  it('finds a part that many crashes were beside and that turns deadly later', () => {
    const { tracker } = newTracker()
    for (let number = 0; number < 40; number += 1) {
      tracker.recordCrash(`l${number}`, lost(`c${number}`, 'sys', `bad${number % 10}`))
      tracker.recordServed(toPart('sys'))
    }
    for (let number = 0; number < 5; number += 1)
      tracker.recordCrash(`m${number}`, lost(`d${number}`, 'sys', `doc${number}`))
    expect(refusal(tracker, 'sys', 'doc9')).toMatchObject({ part: toPart('sys') })
  })
})
