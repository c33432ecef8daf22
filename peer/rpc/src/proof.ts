import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** Which side of a connection proves itself; keeps one side's proof from serving as the other's. */
export type ProofSide = 'client' | 'server'

/** A random text that the other side must sign. */
export function createNonce(): string {
  return randomBytes(24).toString('base64')
}

/** Proves knowledge of the shared key for one connection. */
export function createProof(
  sharedKey: string,
  side: ProofSide,
  nonces: [client: string, server: string],
): string {
  return createHmac('sha256', sharedKey)
    .update(`${side}|${nonces.join('|')}`)
    .digest('base64')
}

/** Compares two proofs in constant time. */
export function proofsMatch(expected: string, given: unknown): boolean {
  const left = Buffer.from(expected)
  const right = Buffer.from(typeof given === 'string' ? given : '')
  return left.length === right.length && timingSafeEqual(left, right)
}
