import { EvacuationView, type EvacuationSet } from '@forkstage/evacuation'
import type { Logger } from '@forkstage/logger'
import type { FailureDomain } from '@forkstage/types'

/** Options of {@link EvacuationTracker}. */
export interface EvacuationTrackerOptions {
  logger: Logger
  /** Called after the belief has changed. */
  onChange?: () => void
  /** Called for each domain that is evacuated no more: its endpoints may have turned cold unheard meanwhile. */
  onWithdrawn?: (domain: FailureDomain) => void
}

/** At most so many domains are named in a line. */
const MAX_DOMAINS_LOGGED = 12

/** What this machine believes of evacuations, with a log line for each change. */
export class EvacuationTracker {
  readonly view = new EvacuationView()

  constructor(private readonly options: EvacuationTrackerOptions) {}

  /** Takes a set that is committed. */
  merge(set: EvacuationSet): void {
    const before = this.view.current.domains
    if (!this.view.merge(set)) return
    this.reportChange()
    const withdrawn = before.filter((domain) => !this.view.isEvacuated(domain))
    withdrawn.forEach((domain) => this.options.onWithdrawn?.(domain))
  }

  /** Takes domains that may be evacuated, until a set is known. */
  addSupposed(domains: FailureDomain[]): void {
    if (this.view.addSupposed(domains)) this.reportChange()
  }

  private reportChange(): void {
    const { index, domains } = this.view.current
    this.options.logger.info('evacuation.in-force', {
      index,
      count: domains.length,
      domains: domains.slice(0, MAX_DOMAINS_LOGGED),
    })
    this.options.onChange?.()
  }
}
