import type { Millis } from '@forkstage/types'

/** The parts of a response head that are read here. */
export interface AnswerFields {
  status: number
  /** Alternating names and values as received; a name may occur more than once. */
  rawHeaders: string[]
}

/** The parsed Retry-After of a response. */
export type RetryAfter =
  { type: 'none' } | { type: 'rest'; forMs: Millis } | { type: 'unreadable'; value: string }

/**
 * Statuses whose Retry-After asks to send later (RFC 9110, 10.2.3, and RFC 6585, 4); elsewhere the field has another
 * meaning.
 */
const RETRY_AFTER_STATUSES = new Set([429, 503])
const RETRY_AFTER = 'retry-after'
const DATE = 'date'
const SECOND_MS = 1_000
/** HTTP allows whole seconds only; fractions are accepted as well. */
const SECONDS = /^\d{1,12}(\.\d{1,20})?$/
/** An HTTP date begins with the day of the week. */
const HTTP_DATE = /^[A-Z][a-z]{2,8},? /

/**
 * Parses how long an endpoint asks for no requests. Of several values the longest valid one applies. A date is relative
 * to the response's own `Date`, so that clocks are not compared.
 */
export function readRetryAfter({ status, rawHeaders }: AnswerFields): RetryAfter {
  if (!RETRY_AFTER_STATUSES.has(status)) return { type: 'none' }
  const values = valuesOf(rawHeaders, RETRY_AFTER)
  const first = values[0]
  if (first === undefined) return { type: 'none' }
  const answeredAt = Date.parse(valuesOf(rawHeaders, DATE)[0] ?? '')
  const times = values.map((value) => readTime(value, answeredAt)).filter((time) => time !== undefined)
  return times.length > 0 ? { type: 'rest', forMs: Math.max(...times) } : { type: 'unreadable', value: first }
}

function readTime(value: string, answeredAt: number): Millis | undefined {
  if (SECONDS.test(value)) return Number(value) * SECOND_MS
  if (!HTTP_DATE.test(value)) return undefined
  const until = Date.parse(value)
  return Number.isNaN(until) || Number.isNaN(answeredAt) ? undefined : Math.max(0, until - answeredAt)
}

function valuesOf(rawHeaders: string[], name: string): string[] {
  return rawHeaders.flatMap((field, index) =>
    index % 2 === 0 && field.toLowerCase() === name ? [(rawHeaders[index + 1] ?? '').trim()] : [],
  )
}
