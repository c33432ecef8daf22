import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { OriginRecord, StreamKey, StreamOrigin } from './originTypes'

/** Options of {@link OriginTable}. */
export interface OriginTableOptions {
  clock: Pick<Clock, 'now'>
  /** The number of streams that are kept; the oldest are dropped first. */
  maxStreams?: number
}

/** Bounds the memory of the table, at 126 bytes a stream. */
const MAX_STREAMS = 100_000
/** Expired streams that one call removes at most, so that no call takes long. */
const MAX_REMOVED_AT_ONCE = 100

interface Entry {
  origin: StreamOrigin
  expiresAt: Millis
}

/** The origins of recent streams. */
export class OriginTable {
  /** In the order of their last record. */
  private readonly entries = new Map<StreamKey, Entry>()
  /** One object per service and version, which thousands of streams share. */
  private readonly origins = new Map<string, StreamOrigin>()

  constructor(private readonly options: OriginTableOptions) {}

  get size(): number {
    return this.entries.size
  }

  /** Returns the origin of a stream; undefined if it is unknown or has expired. */
  find(stream: StreamKey): StreamOrigin | undefined {
    const entry = this.entries.get(stream)
    return entry !== undefined && entry.expiresAt > this.options.clock.now() ? entry.origin : undefined
  }

  /** Records origins; a later record of a stream replaces an earlier one. */
  merge(records: OriginRecord[]): void {
    const now = this.options.clock.now()
    for (const { stream, keepMs, ...origin } of records) {
      this.entries.delete(stream)
      this.entries.set(stream, { origin: this.shared(origin), expiresAt: now + keepMs })
    }
    this.removeOld(now)
  }

  /** Returns every stream that has not expired, the oldest record first. */
  list(): OriginRecord[] {
    const now = this.options.clock.now()
    return [...this.entries]
      .filter(([, { expiresAt }]) => expiresAt > now)
      .map(([stream, { origin, expiresAt }]) => ({ stream, ...origin, keepMs: Math.round(expiresAt - now) }))
  }

  private shared({ service, softwareVersion }: StreamOrigin): StreamOrigin {
    const key = JSON.stringify([service, softwareVersion])
    const known = this.origins.get(key) ?? { service, softwareVersion }
    this.origins.set(key, known)
    return known
  }

  private removeOld(now: Millis): void {
    const { maxStreams = MAX_STREAMS } = this.options
    let removed = 0
    for (const [stream, { expiresAt }] of this.entries) {
      const isOver = this.entries.size > maxStreams
      if (!isOver && (expiresAt > now || removed >= MAX_REMOVED_AT_ONCE)) break
      this.entries.delete(stream)
      removed += 1
    }
    if (this.entries.size === 0) this.origins.clear()
  }
}
