import { createHash } from 'node:crypto'
import type { Outcome } from '@forkstage/claims'

/** Options of {@link createOutcome}. */
export interface CreateOutcomeOptions {
  status: number
  headers: Record<string, string>
  /** Answers up to this size are stored whole; of larger ones only the digest is stored. */
  keepBytes: number
}

/** The outcome of a request that ran, for the journal. */
export function createOutcome(body: Buffer, options: CreateOutcomeOptions): Outcome {
  const { status, headers, keepBytes } = options
  const kept = body.length <= keepBytes ? body.toString('base64') : undefined
  return { execution: 'ran', status, headers, body: kept, digest: digestOf(body), bytes: body.length }
}

/** SHA-256 in hex. */
export function digestOf(bytes: Uint8Array | string): string {
  return createHash('sha256').update(bytes).digest('hex')
}
