import { every, type CancelTimer, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import { collectGarbage, type CollectionKind } from './collectGarbage'
import { readProcessMemory } from './processMemory'

/** Options of {@link GarbageMonitor}. */
export interface GarbageMonitorOptions {
  /** Returns how much memory the process may use, in bytes. */
  limitBytes: () => number
  /** Returns the bytes of all buffers outside the heap, also of dropped ones; default: those of this process. */
  bufferBytes?: () => number
  /** Default: a collection of V8. */
  collect?: (kind: CollectionKind) => void
  clock: Clock
}

const SAMPLE_EVERY_MS: Millis = 100
/** Growth of the buffers, as a share of the limit, after which dropped ones are looked for. */
const MINOR_SHARE = 0.06
const FULL_SHARE = 0.12
/** A full collection takes some tens of milliseconds. */
const FULL_EVERY_MS: Millis = 1_000

/**
 * Collects garbage when the buffers outside the heap have grown by a share of the memory limit. V8 by itself lets some 64 MB of
 * dropped buffers pile up, whatever the process may use: each piece that is read from a connection is one.
 */
export class GarbageMonitor {
  private lowestSinceMinor = Infinity
  private lowestSinceFull = Infinity
  private fullAt: Millis = -Infinity
  private cancelTimer: CancelTimer = () => undefined

  constructor(private readonly options: GarbageMonitorOptions) {}

  start(): void {
    this.cancelTimer = every(this.options.clock, SAMPLE_EVERY_MS, () => this.sample())
  }

  stop(): void {
    this.cancelTimer()
  }

  private sample(): void {
    const { limitBytes, bufferBytes = ownBufferBytes, clock } = this.options
    const bytes = bufferBytes()
    this.lowestSinceMinor = Math.min(this.lowestSinceMinor, bytes)
    this.lowestSinceFull = Math.min(this.lowestSinceFull, bytes)
    const isFullDue = clock.now() - this.fullAt >= FULL_EVERY_MS
    if (isFullDue && bytes - this.lowestSinceFull >= limitBytes() * FULL_SHARE) this.collectFully()
    else if (bytes - this.lowestSinceMinor >= limitBytes() * MINOR_SHARE) this.collect('minor')
  }

  private collectFully(): void {
    this.fullAt = this.options.clock.now()
    this.collect('full')
    this.lowestSinceFull = Infinity
  }

  private collect(kind: CollectionKind): void {
    const { collect = collectGarbage } = this.options
    collect(kind)
    // Dropped buffers are freed by another thread, so that only a later sample shows what is left.
    this.lowestSinceMinor = Infinity
  }
}

function ownBufferBytes(): number {
  const { arrayBuffers, external } = readProcessMemory()
  return arrayBuffers ?? external
}
