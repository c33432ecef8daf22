import { describe, expect, it } from 'vitest'
import { CrashTracker, decideSending } from '../src'

function newTracker() {
  return new CrashTracker({ now: () => 0, ends: 3, keepMs: 60_000 })
}

/** Records this many crashes of a content, each with one other content running. */
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
  it('isolates a content that is one crash short of refusal, and refuses it after that crash', () => {
    const tracker = newTracker()
    expect(decide(tracker)).toBe('send')
    crash(tracker, 'a', 1)
    expect(decide(tracker)).toBe('serialize')
    crash(tracker, 'a', 2)
    expect(decide(tracker)).toBe('isolate')
    crash(tracker, 'a', 3)
    expect(decide(tracker)).toBe('refuse')
  })

  // Guards against a third crash beside other requests, which proves nothing, by the retry of a request whose second
  // crash is not confirmed yet.
  it('awaits the confirmation of a loss only if it would decide', () => {
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

  it('does not await a loss if the content was served after its crashes', () => {
    const tracker = newTracker()
    crash(tracker, 'a', 2)
    tracker.recordServed('a')
    expect(decide(tracker, 1)).toBe('send')
  })

  // Guards against parallel runs of one content that reach three crashes before the first is confirmed.
  it('serializes contents that were not served recently while endpoints of their service crash', () => {
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
