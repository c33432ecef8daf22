import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** The side of a connection that sends a proof; part of the proof, so that the other side cannot reuse it. */
export type ProofSide = 'client' | 'server'

/** Returns a random text that the other side must sign. */
export function createNonce(): string {
  return randomBytes(24).toString('base64')
}

/** Returns a proof of knowing the shared key, valid for one connection only. */
export function createProof(
  sharedKey: string,
  side: ProofSide,
  nonces: [client: string, server: string],
): string {
  return createHmac('sha256', sharedKey)
    .update(`${side}|${nonces.join('|')}`)
    .digest('base64')
}

/** Returns whether two proofs are equal; compares in constant time. */
export function proofsMatch(expected: string, given: unknown): boolean {
  const left = Buffer.from(expected)
  const right = Buffer.from(typeof given === 'string' ? given : '')
  return left.length === right.length && timingSafeEqual(left, right)
}
