import type { Millis } from '@forkstage/types'

/** What is read of an answer's head. */
export interface AnswerFields {
  status: number
  /** Names and values by turns, as they came: a name may come twice. */
  rawHeaders: string[]
}

/** What an answer says of when to come back. */
export type RetryAfter =
  { type: 'none' } | { type: 'rest'; forMs: Millis } | { type: 'unreadable'; value: string }

/** Statuses that say "not now" (RFC 9110, 10.2.3, and RFC 6585, 4); elsewhere the field means something else. */
const RETRY_AFTER_STATUSES = new Set([429, 503])
const RETRY_AFTER = 'retry-after'
const DATE = 'date'
const SECOND_MS = 1_000
/** HTTP has whole seconds; fractions are taken as well. */
const SECONDS = /^\d{1,12}(\.\d{1,20})?$/
/** A date of HTTP begins with the day of the week. */
const HTTP_DATE = /^[A-Z][a-z]{2,8},? /

/**
 * How long an endpoint wants nothing from here. Of several values the longest that can be read counts. A date counts from
 * the answer's own `Date`, so that no clocks are compared.
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
