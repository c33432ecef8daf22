// Guards against endpoints that go down together counting as so many crashes of what they all were running.
import { describe, expect, it } from 'vitest'
import { CrashTracker, readCrashRecords } from '../src'

const SERVICE = 's'
const DOMAIN_SIZE = 4

/** Creates a tracker that has served `popular` and a content or part of its own with each of twenty answers. */
function newTracker() {
  const time = { now: 0 }
  const topology = {
    domainOf: (incarnation: string) => incarnation.split('-')[0],
    countEndpoints: (_service: string, domain?: string) => (domain === undefined ? 3 : 1) * DOMAIN_SIZE,
  }
  const tracker = new CrashTracker({ now: () => time.now, ends: 3, keepMs: 3_600_000, topology })
  for (let answer = 0; answer < 20; answer += 1) {
    tracker.recordServed('popular', 0, SERVICE)
    tracker.recordServed(`other ${answer}`, 0, SERVICE)
    tracker.recordWritten(['part-sys', `part-${answer}`], 250, SERVICE)
  }
  /** Crashes the endpoints of a domain, each with these contents or parts, some time after each other. */
  const crashDomain = (domain: string, content: string, parts: string[], everyMs: number) => {
    for (let index = 0; index < DOMAIN_SIZE; index += 1) {
      const own = parts.length > 0 ? `${content} ${domain} ${index}` : content
      const atCrash = { content: own, isEarly: true, ...(parts.length > 0 ? { parts } : {}) }
      tracker.recordCrash(`${domain}-${index}`, [atCrash], SERVICE)
      time.now += everyMs
    }
  }
  return { time, tracker, crashDomain }
}

describe('a content whose endpoints crash together', () => {
  it('is tried in isolation and not refused if it had much of the answers, and cleared by the first one', () => {
    const { tracker, crashDomain } = newTracker()
    crashDomain('a', 'popular', [], 20)
    expect(tracker.refusalByCrashCount('popular')).toBeUndefined()
    expect(tracker.refusalByBlame('popular')).toBeUndefined()
    expect(tracker.isSuspect('popular')).toBe(true)
    tracker.recordServed('popular', 0, SERVICE)
    expect(tracker.isSuspect('popular')).toBe(false)
  })

  it('is refused if it had few of the answers, or if the crashes came one after the other', () => {
    const rare = newTracker()
    rare.crashDomain('a', 'rare', [], 20)
    expect(rare.tracker.refusalByCrashCount('rare')).toMatchObject({ ends: 4 })
    const spread = newTracker()
    spread.crashDomain('a', 'popular', [], 500)
    expect(spread.tracker.refusalByCrashCount('popular')).toMatchObject({ ends: 4 })
  })

  it('is refused after a second incident without an answer in between, and not after one with an answer', () => {
    const { tracker, time, crashDomain } = newTracker()
    crashDomain('a', 'popular', [], 20)
    time.now += 2_000
    crashDomain('b', 'popular', [], 20)
    expect(tracker.refusalByCrashCount('popular')).toBeDefined()
    const answered = newTracker()
    answered.crashDomain('a', 'popular', [], 20)
    answered.time.now += 2_000
    answered.tracker.recordServed('popular', 0, SERVICE)
    answered.crashDomain('b', 'popular', [], 20)
    expect(answered.tracker.refusalByCrashCount('popular')).toBeUndefined()
  })

  it('is excused of crashes that became known one after the other and happened together', () => {
    const { tracker, time } = newTracker()
    for (let index = 0; index < DOMAIN_SIZE; index += 1) {
      tracker.recordCrash(`a-${index}`, [{ content: 'popular', isEarly: true }], SERVICE, time.now)
      time.now += 500
    }
    expect(tracker.refusalByCrashCount('popular')).toBeUndefined()
    expect(tracker.isSuspect('popular')).toBe(true)
  })

  it('is excused at machines that hear of it, and by the records on their disks', () => {
    const { tracker, crashDomain } = newTracker()
    crashDomain('a', 'popular', [], 20)
    const other = new CrashTracker({ now: () => 0, ends: 3, keepMs: 3_600_000 })
    other.merge(readCrashRecords(JSON.parse(JSON.stringify(tracker.changesSince(0)))))
    expect(other.refusalByCrashCount('popular')).toBeUndefined()
    expect(other.isSuspect('popular')).toBe(true)
  })
})

describe('a prompt part whose engines crash together', () => {
  it('waits until it is known how many crashed, is then on trial, and is cleared by the first answer', () => {
    const { tracker, time, crashDomain } = newTracker()
    crashDomain('a', 'prompt', ['part-sys'], 50)
    expect(tracker.refusalByParts(['part-sys'])).toMatchObject({ openMs: 400 })
    time.now += 601
    expect(tracker.refusalByParts(['part-sys'])).toBeUndefined()
    expect(tracker.partOnTrial(['part-else', 'part-sys'])).toBe('part-sys')
    time.now += 400
    tracker.recordWritten(['part-sys'], 250, SERVICE)
    expect(tracker.partOnTrial(['part-sys'])).toBeUndefined()
  })

  it('is refused once it crashed the engines of its trials, too', () => {
    const { tracker, time, crashDomain } = newTracker()
    crashDomain('a', 'prompt', ['part-sys'], 50)
    for (const trial of ['b-0', 'b-1', 'c-0']) {
      time.now += 1_000
      expect(tracker.refusalByParts(['part-sys'])).toBeUndefined()
      tracker.recordCrash(trial, [{ content: trial, isEarly: true, parts: ['part-sys'] }], SERVICE)
    }
    time.now += 601
    expect(tracker.refusalByParts(['part-sys'])).toMatchObject({ ends: 4, part: 'part-sys' })
  })

  // Guards against a killer that hides in the loss of a domain.
  it('is not excused if it had few of the answers', () => {
    const { tracker, time, crashDomain } = newTracker()
    crashDomain('a', 'prompt', ['part-sys', 'part-bad'], 50)
    time.now += 2_000
    expect(tracker.partOnTrial(['part-bad'])).toBeUndefined()
    expect(tracker.refusalByParts(['part-bad'])).toMatchObject({ ends: 4 })
  })
})
