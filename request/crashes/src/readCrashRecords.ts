import * as z from 'zod'
import type { CrashRecord } from './crashTypes'

const MAX_RECORDS = 4_000
const name = z.string().min(1).max(200)
const incarnations = z.array(name).max(64)
const recordSchema = z.object({
  content: name,
  service: name.optional(),
  ended: incarnations,
  early: incarnations,
  served: incarnations,
  excused: incarnations.optional(),
  wasServed: z.boolean().optional(),
  ageMs: z.number().min(0),
})

/** Returns the valid crash records of a message or a file; skips invalid ones. */
export function readCrashRecords(raw: unknown): CrashRecord[] {
  if (!Array.isArray(raw)) return []
  return raw.slice(0, MAX_RECORDS).flatMap((one) => {
    const read = recordSchema.safeParse(one, { jitless: true })
    return read.success ? [read.data] : []
  })
}
