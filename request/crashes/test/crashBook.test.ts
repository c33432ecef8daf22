import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CrashBook, readCrashRecords, type CrashRecord } from '../src'

const KEEP_MS = 60_000

function newBook() {
  const time = { now: 0 }
  return { time, book: new CrashBook({ now: () => time.now, ends: 3, keepMs: KEEP_MS }) }
}

const early = (...contents: string[]) => contents.map((content) => ({ content, isEarly: true }))
const late = (...contents: string[]) => contents.map((content) => ({ content, isEarly: false }))

describe('CrashBook', () => {
  it('refuses a content that was at work at three lives that ended, not at two', () => {
    const { book } = newBook()
    book.recordCrash('l1', early('bad'))
    book.recordCrash('l2', early('bad'))
    book.recordCrash('l2', early('bad'))
    expect(book.refusal('bad')).toBeUndefined()
    book.recordCrash('l3', early('bad'))
    expect(book.refusal('bad')).toEqual({ ends: 3, leftMs: KEEP_MS })
    expect(book.countRefused()).toBe(1)
  })

  it('puts an end down to whatever was at most ends of all that were there', () => {
    const { book } = newBook()
    book.recordCrash('l0', early('bad'))
    // Sent anew after each end, and each time to where the bad one came next.
    for (const life of ['l1', 'l2', 'l3']) book.recordCrash(life, early('bad', 'unlucky'))
    expect(book.refusal('bad')).toBeDefined()
    expect(book.refusal('unlucky')).toBeUndefined()
  })

  it('counts the ends of what was to run alone whoever else was there, until it is served or they lapse', () => {
    const { book, time } = newBook()
    book.recordCrash('l0', early('bad'))
    for (const life of ['l1', 'l2']) book.recordCrash(life, early('bad', 'other'))
    expect(book.refusalByEnds('other')).toBeUndefined()
    book.recordCrash('l3', early('bad', 'other'))
    expect(book.refusal('other')).toBeUndefined()
    expect(book.refusalByEnds('other')).toEqual({ ends: 3, leftMs: KEEP_MS })
    expect(book.refusalByEnds('never seen')).toBeUndefined()
    time.now = KEEP_MS
    expect(book.refusalByEnds('other')).toBeUndefined()
    time.now = 0
    book.noteServed('other')
    expect(book.refusalByEnds('other')).toBeUndefined()
  })

  it('holds back what was alone at no end for a minute, then has it run alone, which proves it or clears it', () => {
    const time = { now: 0 }
    const book = new CrashBook({ now: () => time.now, ends: 3, keepMs: 3_600_000 })
    for (const life of ['l1', 'l2', 'l3']) book.recordCrash(life, early(`bad ${life}`, 'one', 'two'))
    expect(book.refusalByEnds('one')).toEqual({ ends: 3, leftMs: 60_000 })
    expect(book.isSuspect('one')).toBe(false)
    time.now = 60_000
    expect(book.refusalByEnds('one')).toBeUndefined()
    expect(book.isSuspect('one')).toBe(true)
    book.recordCrash('l4', early('one'))
    expect(book.refusalByEnds('one')).toEqual({ ends: 4, leftMs: 3_600_000 })
    book.noteServed('two')
    expect(book.isSuspect('two')).toBe(false)
    expect(book.refusalByEnds('two')).toBeUndefined()
  })

  it('counts only ends at which it was alone of what gets good answers, before or after, here or elsewhere', () => {
    const { book, time } = newBook()
    book.noteServed('liked')
    time.now = 60_000
    for (const life of ['l1', 'l2', 'l3', 'l4']) book.recordCrash(life, early('bad', 'liked'))
    expect(book.refusalByEnds('bad')).toBeDefined()
    expect(book.refusalByEnds('liked')).toBeUndefined()
    expect(book.isSuspect('liked')).toBe(true)
    const told = newBook().book
    told.merge(readCrashRecords(JSON.parse(JSON.stringify(book.since(0)))))
    expect(told.refusalByEnds('liked')).toBeUndefined()
    for (const life of ['l5', 'l6', 'l7']) book.recordCrash(life, early('liked'))
    expect(book.refusalByEnds('liked')).toMatchObject({ ends: 3 })
  })

  it('does not go by answers of more than a minute ago', () => {
    const { book, time } = newBook()
    book.noteServed('liked')
    time.now = 60_001
    for (const life of ['l1', 'l2', 'l3']) book.recordCrash(life, early('bad', 'liked'))
    expect(book.refusalByEnds('liked')).toMatchObject({ ends: 3 })
    const elsewhere = newBook().book
    elsewhere.noteServed('liked')
    elsewhere.merge(book.since(0))
    expect(elsewhere.refusalByEnds('liked')).toBeUndefined()
  })

  it('remembers a bounded number of what was served', () => {
    const { book } = newBook()
    book.noteServed('first')
    for (let count = 0; count < 5_000; count += 1) book.noteServed(`other ${count}`)
    for (const life of ['l1', 'l2', 'l3']) book.recordCrash(life, early('bad', 'first', 'other 4999'))
    expect(book.refusalByEnds('first')).toBeDefined()
    expect(book.refusalByEnds('other 4999')).toBeUndefined()
  })

  it('puts an end down to what had just begun, among equals', () => {
    const { book } = newBook()
    for (const life of ['l1', 'l2', 'l3'])
      book.recordCrash(life, [...early('bad'), ...late('running'), ...late('other')])
    expect(book.refusal('bad')).toBeDefined()
    expect(book.refusal('running')).toBeUndefined()
  })

  it('blames one that ends its endpoints only after a while too, once it was at more ends than any other', () => {
    const { book } = newBook()
    for (const number of [1, 2, 3])
      book.recordCrash(`l${number}`, [...late('slow'), ...early(`new${number}`)])
    expect(book.refusal('slow')).toMatchObject({ ends: 3 })
    expect(book.countRefused()).toBe(1)
  })

  it('holds nothing against a content from before a whole answer, and others are blamed for what is left', () => {
    const { book } = newBook()
    for (const life of ['l1', 'l2']) book.recordCrash(life, early('good', 'bad'))
    expect(book.noteServed('good')).toHaveLength(1)
    expect(book.noteServed('good')).toEqual([])
    expect(book.noteServed('unheard of')).toEqual([])
    book.recordCrash('l3', early('good', 'bad'))
    expect(book.refusal('good')).toBeUndefined()
    expect(book.refusal('bad')).toMatchObject({ ends: 3 })
  })

  it('lets a refused content through again when the last end is long enough ago, by the clock of who says so', () => {
    const { book, time } = newBook()
    for (const life of ['l1', 'l2', 'l3']) book.recordCrash(life, early('bad'))
    time.now += KEEP_MS / 2
    const other = newBook()
    other.book.merge(book.since(0))
    expect(other.book.refusal('bad')).toEqual({ ends: 3, leftMs: KEEP_MS / 2 })
    other.time.now += KEEP_MS / 2
    expect(other.book.refusal('bad')).toBeUndefined()
  })

  it('passes on what changed after a position, and nothing twice', () => {
    const { book } = newBook()
    book.recordCrash('l1', early('a', 'b'))
    const { position } = book
    expect(book.since(0).map(({ content }) => content)).toEqual(['a', 'b'])
    expect(book.since(position)).toEqual([])
    book.recordCrash('l2', early('a'))
    expect(book.since(position).map(({ content }) => content)).toEqual(['a'])
    expect(book.merge(book.since(0))).toEqual([])
  })

  it('stays bounded, and keeps what it refuses', () => {
    const { book } = newBook()
    for (const life of ['l1', 'l2', 'l3']) book.recordCrash(life, early('bad'))
    for (let number = 0; number < 2_500; number += 1) book.recordCrash(`x${number}`, early(`c${number}`))
    expect(book.size).toBeLessThanOrEqual(2_000)
    expect(book.refusal('bad')).toBeDefined()
  })

  it('comes to the same whatever the order in which machines hear, and however often', () => {
    const name = fc.constantFrom('a', 'b', 'c')
    const life = fc.constantFrom('l1', 'l2', 'l3', 'l4')
    const record = fc.record({
      content: name,
      ended: fc.uniqueArray(life),
      early: fc.uniqueArray(life),
      served: fc.uniqueArray(life),
      ageMs: fc.constant(0),
    })
    fc.assert(
      fc.property(fc.array(record, { maxLength: 12 }), fc.nat(), (records, turn) => {
        const [one, other] = [newBook().book, newBook().book]
        one.merge(records)
        const turned = records.map((_, index) => records[(index + turn) % records.length]!)
        for (const each of [...turned, ...records]) other.merge([each])
        for (const content of ['a', 'b', 'c'])
          expect(other.refusal(content)?.ends).toBe(one.refusal(content)?.ends)
      }),
    )
  })
})

describe('readCrashRecords', () => {
  it('takes what is a record and leaves out everything else, whatever it is', () => {
    const good: CrashRecord = { content: 'a', ended: ['l'], early: [], served: [], ageMs: 1 }
    expect(readCrashRecords([good, { ...good, ageMs: '1' }, null, { content: 'a' }])).toEqual([good])
    fc.assert(
      fc.property(fc.anything(), (raw) => {
        const { book } = newBook()
        book.merge(readCrashRecords(raw))
        book.merge(readCrashRecords([raw, good]))
        expect(book.refusal('a')).toBeUndefined()
        expect(book.size).toBeGreaterThan(0)
      }),
    )
  })
})
