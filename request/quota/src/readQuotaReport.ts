import * as z from 'zod'
import type { QuotaReport } from './quotaTypes'

const name = z.string().min(1).max(400)
// Sums of what was spent and refunded may be below 0 by a rounding error.
const units = z.number()
const spent = z.object({ life: name, recent: units, askedPerSecond: units, demandPerSecond: units })
const report = z.object({ entry: name, spent: z.record(z.string(), z.unknown()) })

/** Parses an entry's report; undefined if it is malformed. Workspaces whose row is malformed are left out. */
export function readQuotaReport(raw: unknown): QuotaReport | undefined {
  const read = report.safeParse(raw)
  if (!read.success) return undefined
  const rows = Object.entries(read.data.spent).flatMap(([workspace, row]) => {
    const parsed = spent.safeParse(row)
    return parsed.success ? [[workspace, parsed.data] as const] : []
  })
  return { entry: read.data.entry, spent: Object.fromEntries(rows) }
}
