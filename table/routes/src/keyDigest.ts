import { createHash } from 'node:crypto'

/** Long enough that two keys of a deployment are never taken for each other, too short to try keys against. */
const SHORT_DIGEST_DIGITS = 12

/** The SHA-256 digest of a key. */
export function digestKey(key: string): Buffer {
  return createHash('sha256').update(key).digest()
}

/** What stands for a key in logs and errors: the first hexadecimal digits of its digest. */
export function shortKeyDigest(key: string): string {
  return digestKey(key).toString('hex').slice(0, SHORT_DIGEST_DIGITS)
}
