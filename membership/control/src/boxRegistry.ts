import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { AskQuestion, BoxInfo, BoxStatus, Members } from './askTypes'

/** Options of {@link BoxRegistry}. */
export interface BoxRegistryOptions {
  clock: Clock
  /** A box unheard of for this long is not live. */
  goneAfter: Millis
  /** How long a box may act on its table without renewing. */
  tableLease: Millis
}

interface Heard {
  info: BoxInfo
  version: number
  versionSince: Millis
  at: Millis
  leaseUntil: Millis
}

/** How long an unheard box stays on the status page. */
const FORGET_AFTER_MS = 600_000

/** The boxes that a control replica hears from. Soft state: rebuilt from their questions. */
export class BoxRegistry {
  private readonly heard = new Map<string, Heard>()
  private count = 0
  private lastList = ''
  private leaving: string[] = []

  constructor(private readonly options: BoxRegistryOptions) {}

  /** Takes a question as a heartbeat. */
  note(question: AskQuestion): void {
    const now = this.options.clock.now()
    const { box } = question.box
    const old = this.heard.get(box)
    const sameVersion = old?.version === question.version && old.info.incarnation === question.box.incarnation
    this.heard.set(box, {
      info: question.box,
      version: question.version,
      versionSince: sameVersion ? old.versionSince : now,
      at: now,
      leaseUntil: now + Math.max(question.leaseLeft, this.options.tableLease),
    })
  }

  /** Takes what the platform lists as leaving. */
  noteLeaving(names: string[]): void {
    this.leaving = [...names].sort()
  }

  /** The live boxes as this replica hears them; `term` orders the lists of successive leaders. */
  members(term: number): Members {
    const now = this.options.clock.now()
    const live = [...this.heard.values()].filter((heard) => now - heard.at < this.options.goneAfter)
    const boxes = live
      .map((heard) => this.withPlatformMark(heard.info))
      .sort((a, b) => (a.box < b.box ? -1 : 1))
    const list = JSON.stringify([boxes, this.leaving])
    if (list !== this.lastList) this.count += 1
    this.lastList = list
    return { version: [term, this.count], boxes, leaving: this.leaving }
  }

  /** Where the boxes heard lately can be reached. */
  addresses(): Address[] {
    const now = this.options.clock.now()
    const live = [...this.heard.values()].filter((heard) => now - heard.at < this.options.goneAfter)
    return live.map((heard) => heard.info.address)
  }

  status(): BoxStatus[] {
    const now = this.options.clock.now()
    for (const [box, heard] of this.heard) if (now - heard.at > FORGET_AFTER_MS) this.heard.delete(box)
    return [...this.heard.values()].map((heard) => ({
      ...heard.info,
      version: heard.version,
      versionForMs: Math.round(now - heard.versionSince),
      heardAgoMs: Math.round(now - heard.at),
      leaseLeftMs: Math.max(0, Math.round(heard.leaseUntil - now)),
    }))
  }

  private withPlatformMark(info: BoxInfo): BoxInfo {
    return this.leaving.includes(info.box) ? { ...info, state: 'leaving' } : info
  }
}
