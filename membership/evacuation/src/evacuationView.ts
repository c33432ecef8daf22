import type { FailureDomain } from '@forkstage/types'
import { UNKNOWN_INDEX, type EvacuationSet } from './evacuationTypes'

/**
 * The newest set of evacuated domains that one machine has received. It never reverts while the process runs.
 * Before the first set arrives, domains count as evacuated if control machines may have acknowledged their
 * evacuation before they restarted.
 */
export class EvacuationView {
  private set: EvacuationSet = { index: UNKNOWN_INDEX, domains: [] }
  private evacuated: ReadonlySet<FailureDomain> = new Set()

  /** The newest set received; its index is {@link UNKNOWN_INDEX} before the first. */
  get current(): EvacuationSet {
    return this.set
  }

  /** Whether a set was received from a replica that knows what is committed. */
  get isConfirmed(): boolean {
    return this.set.index > UNKNOWN_INDEX
  }

  /** Applies a set if it is newer; returns whether it was. */
  merge(set: EvacuationSet): boolean {
    if (set.index <= this.set.index) return false
    this.set = set
    this.evacuated = new Set(set.domains)
    return true
  }

  /** Adds domains that may be evacuated, unless a set was received; returns whether any of them is new. */
  addSupposed(domains: FailureDomain[]): boolean {
    const isNew = !this.isConfirmed && domains.some((domain) => !this.evacuated.has(domain))
    if (isNew) {
      this.evacuated = new Set([...this.evacuated, ...domains])
      this.set = { index: UNKNOWN_INDEX, domains: [...this.evacuated].sort() }
    }
    return isNew
  }

  /** Whether nothing more may be sent to the endpoints of a failure domain. */
  isEvacuated(domain: FailureDomain): boolean {
    return this.evacuated.has(domain)
  }
}
