import { describe, expect, it } from 'vitest'
import { CrashBook, decideSending } from '../src'

function newBook() {
  return new CrashBook({ now: () => 0, ends: 3, keepMs: 60_000 })
}

/** Notes that a content was at work at so many endpoints that crashed, each beside another. */
function crash(book: CrashBook, content: string, times: number): void {
  for (let time = 1; time <= times; time += 1)
    book.recordCrash(
      `${content}${time}`,
      [content, `beside ${time}`].map((one) => ({ content: one, isEarly: true })),
    )
}

function decide(book: CrashBook, unconfirmed = 0, hasTrials = true): string {
  return decideSending({ book, content: 'a', service: 's', hasTrials: () => hasTrials, unconfirmed }).type
}

describe('decideSending', () => {
  it('isolates what lacks one crash to be refused, and refuses it after that', () => {
    const book = newBook()
    expect(decide(book)).toBe('send')
    crash(book, 'a', 1)
    expect(decide(book)).toBe('serialize')
    crash(book, 'a', 2)
    expect(decide(book)).toBe('isolate')
    crash(book, 'a', 3)
    expect(decide(book)).toBe('refuse')
  })

  // Guards against a third crash beside others, which proves nothing, by the repeat of a request whose second is not confirmed yet.
  it('waits for a loss to be confirmed where it would decide, and only there', () => {
    const book = newBook()
    expect(decide(book, 1)).toBe('serialize')
    expect(decide(book, 2)).toBe('await-confirmation')
    crash(book, 'a', 1)
    expect(decide(book, 1)).toBe('await-confirmation')
    crash(book, 'a', 2)
    expect(decide(book, 1)).toBe('await-confirmation')
    crash(book, 'a', 3)
    expect(decide(book, 1)).toBe('refuse')
  })

  it('waits for no loss of a request whose content was served since', () => {
    const book = newBook()
    crash(book, 'a', 2)
    book.noteServed('a')
    expect(decide(book, 1)).toBe('send')
  })

  // Guards against runs of one content side by side that come to three crashes before the first is confirmed.
  it('lets contents that nobody was served lately run once at a time while endpoints of their service crash', () => {
    const time = { now: 0 }
    const book = new CrashBook({ now: () => time.now, ends: 3, keepMs: 60_000 })
    const crashOne = (life: string, service: string) =>
      book.recordCrash(life, [{ content: `of ${life}`, isEarly: true }], service)
    crashOne('l1', 's')
    crashOne('l2', 'other')
    expect(decide(book)).toBe('send')
    time.now = 5_000
    crashOne('l3', 's')
    expect(decide(book)).toBe('serialize')
    book.noteServed('a')
    expect(decide(book)).toBe('send')
    time.now = 10_001
    book.merge([{ content: 'b', ended: ['l4'], early: [], served: [], service: 's', ageMs: 9_000 }])
    expect(
      decideSending({ book, content: 'c', service: 's', hasTrials: () => true, unconfirmed: 0 }).type,
    ).toBe('serialize')
    time.now = 11_002
    expect(
      decideSending({ book, content: 'c', service: 's', hasTrials: () => true, unconfirmed: 0 }).type,
    ).toBe('send')
  })
})
