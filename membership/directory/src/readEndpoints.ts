import { isIpv4Address } from '@forkstage/types'
import * as z from 'zod'
import type { RegisteredEndpoint } from './directoryTypes'

const text = z.string().max(400)
const wholeNumber = z.number().int().min(0)
const recordSchema = z.object({
  id: text.min(1),
  name: text.min(1).optional(),
  born: wholeNumber.optional(),
  service: text,
  address: text,
  zone: text,
  softwareVersion: text.min(1).optional(),
  slots: wholeNumber,
  state: z.enum(['ready', 'draining', 'left', 'ended']),
  stage: z.enum(['prefill', 'decode']).optional(),
  models: z.array(text),
  coldMs: z.number().min(0).optional(),
  sequence: wholeNumber,
})
/** A departure needs no address; it may be known by its name only. */
const endpointSchema = recordSchema.refine(
  ({ state, address }) => state === 'left' || state === 'ended' || isIpv4Address(address),
  { path: ['address'] },
)

/**
 * Parses endpoints that another machine sent or a file contains. Omits invalid records and returns the
 * others.
 */
export function readEndpoints(raw: unknown): RegisteredEndpoint[] {
  if (!Array.isArray(raw)) return []
  return raw.flatMap((one) => {
    const read = endpointSchema.safeParse(one, { jitless: true })
    return read.success ? [read.data] : []
  })
}
