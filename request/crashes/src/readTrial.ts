import * as z from 'zod'
import type { TrialAsk, TrialEnd } from './trialTypes'

const name = z.string().min(1).max(400)
const ask = z.object({
  service: name,
  content: name,
  turnOf: name.optional(),
  records: z.unknown().optional(),
})
const end = ask.extend({ endpoint: name.optional() })

/** What an entry asks; undefined where it is no such question. */
export function readTrialAsk(raw: unknown): TrialAsk | undefined {
  return ask.safeParse(raw).data
}

/** What an entry tells of a run's end; undefined where it is no such word. */
export function readTrialEnd(raw: unknown): TrialEnd | undefined {
  return end.safeParse(raw).data
}
