import * as z from 'zod'
import type { LimitReport } from './limitTypes'

const MAX_PER_SECOND = 1e9
const MAX_AGE_MS = 86_400_000
const count = z.number().int().min(0).max(1_000_000)
const word = z.object({
  perSecond: z.number().min(0).max(MAX_PER_SECOND).nullable(),
  ageMs: z.number().min(0).max(MAX_AGE_MS),
})
const row = z.object({ word, wanted: count, returned: count })
const report = z.object({
  entry: z.string().min(1).max(400),
  endpoints: z.record(z.string().min(1).max(400), z.unknown()),
})

/**
 * Parses an entry's report of advertised rates; undefined where it is malformed. Skips endpoints whose data is invalid.
 */
export function readLimitReport(raw: unknown): LimitReport | undefined {
  const read = report.safeParse(raw)
  if (!read.success) return undefined
  const rows = Object.entries(read.data.endpoints).flatMap(([id, raw]) => {
    const one = row.safeParse(raw)
    return one.success ? [[id, one.data] as const] : []
  })
  return { entry: read.data.entry, endpoints: Object.fromEntries(rows) }
}
