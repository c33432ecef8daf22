import { createHash } from 'node:crypto'

/** Bytes kept for each version, without limit of time: half for the confirm id, half for the digest. */
const FINGERPRINT_BYTES = 16
const HALF_BYTES = FINGERPRINT_BYTES / 2
const INITIAL_CAPACITY = 1_024

/**
 * Fingerprints of the confirm id and digest of every version ever accepted, 16 bytes each, so that a resend
 * gets its first result however late it arrives. Version n starts at offset (n - 1) * 16.
 */
export class VersionFingerprints {
  private bytes = Buffer.alloc(INITIAL_CAPACITY * FINGERPRINT_BYTES)
  private count = 0

  get length(): number {
    return this.count
  }

  append(confirmId: string, digest: string): void {
    if ((this.count + 1) * FINGERPRINT_BYTES > this.bytes.length) this.grow()
    this.bytes.set(fingerprint(confirmId, digest), this.count * FINGERPRINT_BYTES)
    this.count += 1
  }

  /** Whether a version was accepted under this confirm id with this digest. */
  matches(version: number, confirmId: string, digest: string): boolean {
    return this.slot(version)?.equals(fingerprint(confirmId, digest)) ?? false
  }

  /** Whether a version was accepted under this confirm id, with any digest. */
  hasConfirmId(version: number, confirmId: string): boolean {
    return this.slot(version)?.subarray(0, HALF_BYTES).equals(truncatedHash(confirmId)) ?? false
  }

  toBytes(): Buffer {
    return this.bytes.subarray(0, this.count * FINGERPRINT_BYTES)
  }

  static fromBytes(bytes: Uint8Array): VersionFingerprints {
    const fingerprints = new VersionFingerprints()
    fingerprints.bytes = Buffer.from(bytes)
    fingerprints.count = bytes.length / FINGERPRINT_BYTES
    return fingerprints
  }

  private slot(version: number): Buffer | undefined {
    if (version < 1 || version > this.count) return undefined
    return this.bytes.subarray((version - 1) * FINGERPRINT_BYTES, version * FINGERPRINT_BYTES)
  }

  private grow(): void {
    const larger = Buffer.alloc(Math.max(INITIAL_CAPACITY * FINGERPRINT_BYTES, this.bytes.length * 2))
    this.bytes.copy(larger)
    this.bytes = larger
  }
}

function fingerprint(confirmId: string, digest: string): Buffer {
  return Buffer.concat([truncatedHash(confirmId), Buffer.from(digest.slice(0, HALF_BYTES * 2), 'hex')])
}

function truncatedHash(text: string): Buffer {
  return createHash('sha256').update(text).digest().subarray(0, HALF_BYTES)
}
