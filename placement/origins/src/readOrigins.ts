import * as z from 'zod'
import type { OriginQuery, OriginRecord, StreamOrigin } from './originTypes'
import type { SavedVersions } from './versionHistory'

const text = z.string().max(400)
const originSchema = z.object({
  stream: text.min(1),
  service: text.min(1),
  softwareVersion: text,
  keepMs: z.number().min(0),
})
const versionSchema = z.object({ service: text.min(1), softwareVersion: text })
const savedSchema = z.object({
  knownForMs: z.number(),
  versions: z.array(z.object({ service: text, softwareVersion: text })),
})
const querySchema = z.object({ stream: text.min(1), service: text.min(1), withinMs: z.number().min(0) })

/** Parses origins that another machine sent. Omits invalid records and returns the others. */
export function readOrigins(raw: unknown): OriginRecord[] {
  if (!Array.isArray(raw)) return []
  return raw.flatMap((one) => {
    const read = originSchema.safeParse(one)
    return read.success ? [read.data] : []
  })
}

/** Parses versions that another machine sent. Omits invalid ones and returns the others. */
export function readVersions(raw: unknown): StreamOrigin[] {
  if (!Array.isArray(raw)) return []
  return raw.flatMap((one) => {
    const read = versionSchema.safeParse(one)
    return read.success ? [read.data] : []
  })
}

/** Parses what a machine has saved; undefined unless it is valid. */
export function readSavedVersions(raw: unknown): SavedVersions | undefined {
  const read = savedSchema.safeParse(raw)
  return read.success ? read.data : undefined
}

/** Parses a query for an origin; undefined unless it is valid. */
export function readOriginQuery(raw: unknown): OriginQuery | undefined {
  const read = querySchema.safeParse(raw)
  return read.success ? read.data : undefined
}
