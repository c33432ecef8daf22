import * as z from 'zod'
import { ForkstageError } from '@forkstage/error'
import type { PlaceAsk, ReportedHold } from './allocatorTypes'

/** Raised for an ask or a report that is none: its sender decides by itself. */
export class MalformedPlaceCallError extends ForkstageError {
  constructor(step: string) {
    super(
      'FORKSTAGE_MALFORMED_CALL',
      'That is no ask for a place, and no report of places.',
      'Update the sender.',
      {
        step,
      },
    )
  }
}

const text = z.string().max(400)
const name = text.min(1)
const count = z.number().min(0)
const askSchema = z.object({
  request: name,
  entry: name,
  entryDomain: text.optional(),
  service: name,
  className: text,
  promptTokens: count,
  mostTokens: count,
  hintTokens: count.optional(),
  priority: z.number(),
  targetMs: z.number(),
  isReturn: z.boolean(),
  promptMs: z.number(),
  holdMs: z.number(),
  leftMs: z.number(),
  patienceMs: z.number().optional(),
  pauseMs: z.number().optional(),
  except: z.array(text).max(10_000),
  avoid: z.array(text).max(10_000).optional(),
  isPrefilled: z.boolean(),
  isBegun: z.boolean().optional(),
  regions: z.array(text).optional(),
  parts: z.array(z.object({ id: text, tokens: count })).optional(),
})
const holdSchema = z.object({
  ask: askSchema,
  prefill: name.optional(),
  decode: name,
  ageMs: z.number(),
  decodingForMs: z.number().optional(),
  madeTokens: z.number().optional(),
})
const reportSchema = z.object({ entry: name, holds: z.array(z.unknown()).max(100_000) })

/** The places that an entry reports, and how many of its rows are none. */
export interface PlaceReport {
  entry: string
  holds: ReportedHold[]
  malformed: number
}

// Compiled by the schema library, unlike what is read seldom: a report names every place of its entry. Checking a place takes
// 2.5 µs that way, parsing it 2.3 (128 places in a report, beside other work).

/** What an entry asks. @throws MalformedPlaceCallError for what is no ask. */
export function readPlaceAsk(raw: unknown): PlaceAsk {
  const read = askSchema.safeParse((raw as { ask?: unknown } | null | undefined)?.ask)
  if (!read.success) throw new MalformedPlaceCallError('place')
  return read.data
}

/** What an entry reports; rows that are none are left out. @throws MalformedPlaceCallError for what is no report. */
export function readPlaceReport(raw: unknown): PlaceReport {
  const read = reportSchema.safeParse(raw)
  if (!read.success) throw new MalformedPlaceCallError('report')
  const { entry, holds } = read.data
  const good = holds.flatMap((one) => {
    const hold = holdSchema.safeParse(one)
    return hold.success && hold.data.ask.entry === entry ? [hold.data] : []
  })
  return { entry, holds: good, malformed: holds.length - good.length }
}
