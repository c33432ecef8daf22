import { EvacuationView, NO_EVACUATIONS, type EvacuationSet } from '@forkstage/evacuation'
import type { Logger } from '@forkstage/logger'
import type { FailureDomain } from '@forkstage/types'

/** Options of {@link EvacuationTracker}. */
export interface EvacuationTrackerOptions {
  logger: Logger
  /** Called after the known evacuations have changed. */
  onChange?: () => void
  /** Called for each domain that is no longer evacuated: its endpoints may have turned cold without a report. */
  onWithdrawn?: (domain: FailureDomain) => void
}

/** Maximum number of domains named in one log line. */
const MAX_DOMAINS_LOGGED = 12

/** Tracks the evacuations known to this machine and logs each change. */
export class EvacuationTracker {
  readonly view = new EvacuationView()

  constructor(private readonly options: EvacuationTrackerOptions) {}

  /** Log index of the last known change; undefined before the first, so that log lines omit it. */
  get loggedIndex(): number | undefined {
    const { index } = this.view.current
    return index === NO_EVACUATIONS.index ? undefined : index
  }

  /** Merges a committed set; a set that is not newer changes nothing. */
  merge(set: EvacuationSet): void {
    const before = this.view.current.domains
    if (!this.view.merge(set)) return
    this.reportChange()
    const withdrawn = before.filter((domain) => !this.view.isEvacuated(domain))
    withdrawn.forEach((domain) => this.options.onWithdrawn?.(domain))
  }

  /** Treats domains as evacuated until a committed set is known. */
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
