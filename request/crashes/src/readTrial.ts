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

/** What an entry asks; undefined where it is no such question. */
export function readTrialRequest(raw: unknown): TrialRequest | undefined {
  return trialRequest.safeParse(raw).data
}

/** What an entry tells of a run's end; undefined where it is no such word. */
export function readTrialEnd(raw: unknown): TrialEnd | undefined {
  return trialEnd.safeParse(raw).data
}
