import { createHash } from 'node:crypto'

/** Bytes kept a version, for ever: half for the confirm id, half for the digest. */
const MARK_BYTES = 16
const HALF = MARK_BYTES / 2
const FIRST_CAPACITY = 1_024

/**
 * The confirm id and digest of every version ever accepted, as fixed marks of 16 bytes, so that a
 * resend gets its first answer however late it comes. Version n stands at offset (n - 1) * 16.
 */
export class VersionMarks {
  private bytes = Buffer.alloc(FIRST_CAPACITY * MARK_BYTES)
  private count = 0

  get length(): number {
    return this.count
  }

  append(confirmId: string, digest: string): void {
    if ((this.count + 1) * MARK_BYTES > this.bytes.length) this.grow()
    this.bytes.set(mark(confirmId, digest), this.count * MARK_BYTES)
    this.count += 1
  }

  /** Whether a version was made by this confirm id with this digest. */
  matches(version: number, confirmId: string, digest: string): boolean {
    return this.slot(version)?.equals(mark(confirmId, digest)) ?? false
  }

  /** Whether a version was made by this confirm id, whatever its digest. */
  madeBy(version: number, confirmId: string): boolean {
    return this.slot(version)?.subarray(0, HALF).equals(shorten(confirmId)) ?? false
  }

  toBytes(): Buffer {
    return this.bytes.subarray(0, this.count * MARK_BYTES)
  }

  static fromBytes(bytes: Uint8Array): VersionMarks {
    const marks = new VersionMarks()
    marks.bytes = Buffer.from(bytes)
    marks.count = bytes.length / MARK_BYTES
    return marks
  }

  private slot(version: number): Buffer | undefined {
    if (version < 1 || version > this.count) return undefined
    return this.bytes.subarray((version - 1) * MARK_BYTES, version * MARK_BYTES)
  }

  private grow(): void {
    const larger = Buffer.alloc(Math.max(FIRST_CAPACITY * MARK_BYTES, this.bytes.length * 2))
    this.bytes.copy(larger)
    this.bytes = larger
  }
}

function mark(confirmId: string, digest: string): Buffer {
  return Buffer.concat([shorten(confirmId), Buffer.from(digest.slice(0, HALF * 2), 'hex')])
}

function shorten(text: string): Buffer {
  return createHash('sha256').update(text).digest().subarray(0, HALF)
}
