import { createHash } from 'node:crypto'

/** Enough digits to tell the keys of a deployment apart, too few to verify a guessed key against. */
const SHORT_DIGEST_DIGITS = 12

/** Returns the SHA-256 digest of a key. */
export function digestKey(key: string): Buffer {
  return createHash('sha256').update(key).digest()
}

/** Returns the text that stands for a key in logs and errors: the first hexadecimal digits of its digest. */
export function shortKeyDigest(key: string): string {
  return digestKey(key).toString('hex').slice(0, SHORT_DIGEST_DIGITS)
}
