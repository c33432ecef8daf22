import * as z from 'zod'
import type { TrialRequest, TrialEnd } from './trialTypes'

const name = z.string().min(1).max(400)
const trialRequest = z.object({
  service: name,
  content: name,
  turnOf: name.optional(),
  records: z.unknown().optional(),
})
const trialEnd = trialRequest.extend({ endpoint: name.optional() })

/** Parses an entry's request for a trial; undefined where it is malformed. */
export function readTrialRequest(raw: unknown): TrialRequest | undefined {
  return trialRequest.safeParse(raw).data
}

/** Parses an entry's report of the end of a run; undefined where it is malformed. */
export function readTrialEnd(raw: unknown): TrialEnd | undefined {
  return trialEnd.safeParse(raw).data
}
