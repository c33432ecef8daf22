import { describe, expect, it } from 'vitest'
import { TrialBook } from '../src'

const ASK = { service: 's', content: 'a' }
const OTHER = { service: 's', content: 'b' }

function newTrials(registered = ['p1', 'p2', 'p3', 'p4']) {
  const time = { now: 0 }
  const ended = new Set<string>()
  const suspects = new Set<string>()
  const kept: string[][] = []
  const book: TrialBook = new TrialBook({
    now: () => time.now,
    random: () => 0,
    registered: () => registered,
    hasCrashed: (id) => ended.has(id),
    isSuspect: (content) => suspects.has(content),
    onChange: () => kept.push(book.endpoints),
  })
  return { time, ended, suspects, kept, book, registered }
}

describe('TrialBook', () => {
  it('keeps one endpoint free, and lets one content run there at a time once it is empty', () => {
    const { book, time, kept } = newTrials()
    expect(book.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 500 })
    expect(kept).toEqual([['p1']])
    time.now = 499
    expect(book.ask(OTHER)).toEqual({ type: 'later', retryAfterMs: 1 })
    time.now = 500
    expect(book.ask(ASK)).toEqual({ type: 'granted', endpoint: 'p1', forMs: 2_000 })
    expect(book.ask(OTHER)).toEqual({ type: 'later', retryAfterMs: 500 })
    book.end({ ...OTHER, endpoint: 'p1' })
    expect(book.ask(OTHER)).toMatchObject({ type: 'later' })
    book.end({ ...ASK, endpoint: 'p1' })
    expect(book.ask(OTHER)).toMatchObject({ type: 'granted' })
  })

  it('takes a run for over that nobody has told of for two seconds', () => {
    const { book, time } = newTrials()
    book.ask(ASK)
    time.now = 500
    book.ask(ASK)
    time.now = 2_499
    expect(book.ask(OTHER)).toMatchObject({ type: 'later' })
    time.now = 2_500
    expect(book.ask(OTHER)).toMatchObject({ type: 'granted' })
  })

  it('takes another endpoint where that one has ended, and lets it go where nobody asks', () => {
    const { book, time, ended, kept } = newTrials()
    book.ask(ASK)
    ended.add('p1')
    expect(book.ask(ASK)).toMatchObject({ type: 'later' })
    expect(book.endpoints).toEqual(['p2'])
    time.now = 1_499
    book.sweepExpired()
    expect(book.endpoints).toEqual(['p2'])
    time.now = 1_500
    book.sweepExpired()
    expect(kept.at(-1)).toEqual([])
  })

  it('keeps none free while two others would not stand beside it', () => {
    const { book, ended } = newTrials()
    ended.add('p1').add('p2')
    expect(book.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 1_000 })
    expect(book.endpoints).toEqual([])
  })

  it('lets a content run anywhere whose service has too few endpoints for that', () => {
    expect(newTrials(['p1', 'p2']).book.ask(ASK)).toEqual({ type: 'anywhere' })
  })

  it('lets all go when another machine leads', () => {
    const { book, kept } = newTrials()
    book.ask(ASK)
    book.clear()
    book.clear()
    expect(kept).toEqual([['p1'], []])
  })

  // Guards against runs of one content side by side that come to three crashes before the first is confirmed.
  it('gives one request at a time the turn of a content, until that ends or takes too long', () => {
    const { book, time } = newTrials()
    const [first, second] = [
      { ...ASK, turnOf: 'r1' },
      { ...ASK, turnOf: 'r2' },
    ]
    expect(book.ask(first)).toEqual({ type: 'anywhere' })
    expect(book.ask(second)).toEqual({ type: 'later', retryAfterMs: 50 })
    expect(book.ask({ ...OTHER, turnOf: 'r3' })).toEqual({ type: 'anywhere' })
    expect(book.ask(first)).toEqual({ type: 'anywhere' })
    book.end(second)
    expect(book.ask(second)).toMatchObject({ type: 'later' })
    book.end(first)
    expect(book.ask(second)).toEqual({ type: 'anywhere' })
    time.now = 999
    expect(book.ask(first)).toMatchObject({ type: 'later' })
    time.now = 1_000
    expect(book.ask(first)).toEqual({ type: 'anywhere' })
    expect(book.endpoints).toEqual([])
  })

  it('reserves no endpoint for a content while another run of it is under way, and gives no turn to what must be isolated', () => {
    const { book, suspects } = newTrials()
    book.ask({ ...ASK, turnOf: 'r1' })
    expect(book.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 50 })
    expect(book.endpoints).toEqual([])
    suspects.add('a')
    expect(book.ask({ ...ASK, turnOf: 'r1' })).toEqual({ type: 'isolate' })
    book.end({ ...ASK, turnOf: 'r1' })
    expect(book.ask(ASK)).toEqual({ type: 'later', retryAfterMs: 500 })
    expect(book.endpoints).toEqual(['p1'])
  })
})
