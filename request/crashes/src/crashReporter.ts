import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import type { CrashBook } from './crashBook'
import type { CrashRecord } from './crashTypes'

/** Options of {@link CrashReporter}. */
export interface CrashReporterOptions {
  clock: Clock
  book: CrashBook
  /** Tells the leader; undefined where it does not answer in time. */
  report: (records: CrashRecord[]) => Promise<true | undefined>
  /** Who leads, as far as this entry hears. */
  leader: () => Address | undefined
}

const RETRY_MS: Millis = 400
const LOOK_EVERY_MS: Millis = 1_000
/** What an entry tells a new leader; the oldest are left out. */
const MOST_OWN = 256

/** Tells the leader what ended here under which content, until it has answered, and each new leader once more. */
export class CrashReporter {
  private readonly own = new Set<ContentDigest>()
  private readonly untold = new Set<ContentDigest>()
  private toldLeader: Address | undefined
  private isTelling = false
  private cancelLook: CancelTimer | undefined
  private cancelRetry: CancelTimer | undefined

  constructor(private readonly options: CrashReporterOptions) {}

  /** Takes what this entry has seen itself. */
  note(records: CrashRecord[]): void {
    for (const { content } of records) {
      this.own.delete(content)
      this.own.add(content)
      this.untold.add(content)
    }
    for (const content of [...this.own].slice(0, Math.max(0, this.own.size - MOST_OWN)))
      this.own.delete(content)
    if (records.length > 0) void this.tell()
    if (this.own.size > 0) this.cancelLook ??= this.lookLater()
  }

  stop(): void {
    this.cancelLook?.()
    this.cancelRetry?.()
    this.own.clear()
    this.untold.clear()
  }

  /** A new leader may have heard nothing: the machine that led may have ended before it passed on what it was told. */
  private look(): void {
    const leader = this.options.leader()
    if (leader === undefined || leader === this.toldLeader) return
    this.own.forEach((content) => this.untold.add(content))
    void this.tell()
  }

  private lookLater(): CancelTimer {
    return this.options.clock.after(LOOK_EVERY_MS, () => {
      this.look()
      this.cancelLook = this.own.size > 0 ? this.lookLater() : undefined
    })
  }

  private async tell(): Promise<void> {
    if (this.isTelling || this.untold.size === 0) return
    this.isTelling = true
    const { book, report, leader, clock } = this.options
    const told = [...this.untold]
    const to = leader()
    this.untold.clear()
    const answer = await report(book.recordsOf(told))
    this.isTelling = false
    if (answer === true) {
      this.toldLeader = to
      return void this.tell()
    }
    told.forEach((content) => this.untold.add(content))
    this.cancelRetry?.()
    this.cancelRetry = clock.after(RETRY_MS, () => void this.tell())
  }
}
