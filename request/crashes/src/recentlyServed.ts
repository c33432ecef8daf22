import type { Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'

/** How long a complete response is evidence: a release or new weights may change what a content does. */
const RETENTION_MS: Millis = 60_000
/** A popular content is served again long before this many others have been. */
const MAX_CONTENTS = 5_000

/** The contents that recently got a complete response at this machine. */
export class RecentlyServed {
  /** When each content was last served; the oldest first. */
  private readonly at = new Map<ContentDigest, Millis>()

  /** @param now a monotonic clock. */
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
