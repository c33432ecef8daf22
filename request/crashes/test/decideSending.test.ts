import { describe, expect, it } from 'vitest'
import { CrashTracker, decideSending } from '../src'

function newTracker() {
  return new CrashTracker({ now: () => 0, ends: 3, keepMs: 60_000 })
}

/** Notes that a content was at work at so many endpoints that crashed, each beside another. */
function crash(tracker: CrashTracker, content: string, times: number): void {
  for (let time = 1; time <= times; time += 1)
    tracker.recordCrash(
      `${content}${time}`,
      [content, `beside ${time}`].map((one) => ({ content: one, isEarly: true })),
    )
}

function decide(tracker: CrashTracker, unconfirmed = 0, hasTrials = true): string {
  return decideSending({ tracker, content: 'a', service: 's', hasTrials: () => hasTrials, unconfirmed }).type
}

describe('decideSending', () => {
  it('isolates what lacks one crash to be refused, and refuses it after that', () => {
    const tracker = newTracker()
    expect(decide(tracker)).toBe('send')
    crash(tracker, 'a', 1)
    expect(decide(tracker)).toBe('serialize')
    crash(tracker, 'a', 2)
    expect(decide(tracker)).toBe('isolate')
    crash(tracker, 'a', 3)
    expect(decide(tracker)).toBe('refuse')
  })

  // Guards against a third crash beside others, which proves nothing, by the repeat of a request whose second is not confirmed yet.
  it('waits for a loss to be confirmed where it would decide, and only there', () => {
    const tracker = newTracker()
    expect(decide(tracker, 1)).toBe('serialize')
    expect(decide(tracker, 2)).toBe('await-confirmation')
    crash(tracker, 'a', 1)
    expect(decide(tracker, 1)).toBe('await-confirmation')
    crash(tracker, 'a', 2)
    expect(decide(tracker, 1)).toBe('await-confirmation')
    crash(tracker, 'a', 3)
    expect(decide(tracker, 1)).toBe('refuse')
  })

  it('waits for no loss of a request whose content was served since', () => {
    const tracker = newTracker()
    crash(tracker, 'a', 2)
    tracker.recordServed('a')
    expect(decide(tracker, 1)).toBe('send')
  })

  // Guards against runs of one content side by side that come to three crashes before the first is confirmed.
  it('lets contents that nobody was served lately run once at a time while endpoints of their service crash', () => {
    const time = { now: 0 }
    const tracker = new CrashTracker({ now: () => time.now, ends: 3, keepMs: 60_000 })
    const crashOne = (incarnation: string, service: string) =>
      tracker.recordCrash(incarnation, [{ content: `of ${incarnation}`, isEarly: true }], service)
    crashOne('l1', 's')
    crashOne('l2', 'other')
    expect(decide(tracker)).toBe('send')
    time.now = 5_000
    crashOne('l3', 's')
    expect(decide(tracker)).toBe('serialize')
    tracker.recordServed('a')
    expect(decide(tracker)).toBe('send')
    time.now = 10_001
    tracker.merge([{ content: 'b', ended: ['l4'], early: [], served: [], service: 's', ageMs: 9_000 }])
    expect(
      decideSending({ tracker, content: 'c', service: 's', hasTrials: () => true, unconfirmed: 0 }).type,
    ).toBe('serialize')
    time.now = 11_002
    expect(
      decideSending({ tracker, content: 'c', service: 's', hasTrials: () => true, unconfirmed: 0 }).type,
    ).toBe('send')
  })
})
