import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'

/** A good answer says something of a content for so long: a release, or new weights, may change what it does. */
const RETENTION_MS: Millis = 60_000
/** What many callers send comes again long before so many others have come. */
const MAX_CONTENTS = 5_000

/** Contents that got a whole answer lately, at this machine. */
export class RecentlyServed {
  /** When each was served last, the longest ago first. */
  private readonly at = new Map<ContentDigest, Millis>()

  /** @param now a steady clock. */
  constructor(private readonly now: () => Millis) {}

  record(content: ContentDigest): void {
    this.at.delete(content)
    this.at.set(content, this.now())
    if (this.at.size <= MAX_CONTENTS) return
    const [oldest] = this.at.keys()
    this.at.delete(oldest!)
  }

  has(content: ContentDigest): boolean {
    return this.now() - (this.at.get(content) ?? -Infinity) <= RETENTION_MS
  }
}
