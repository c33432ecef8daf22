import type { FailureDomain } from '@forkstage/types'
import { UNKNOWN_INDEX, type EvacuationSet } from './evacuationTypes'

/**
 * What one machine believes: the newest set that it has heard. It never goes back within the life of a process. Until a
 * set is heard, what control machines merely may have acknowledged before they started counts as evacuated.
 */
export class EvacuationView {
  private set: EvacuationSet = { index: UNKNOWN_INDEX, domains: [] }
  private evacuated: ReadonlySet<FailureDomain> = new Set()

  /** The newest set heard; its index is {@link UNKNOWN_INDEX} before that. */
  get current(): EvacuationSet {
    return this.set
  }

  /** Whether a set was heard from a replica that knows what is committed. */
  get isConfirmed(): boolean {
    return this.set.index > UNKNOWN_INDEX
  }

  /** Takes a set where it is newer; says whether it was. */
  merge(set: EvacuationSet): boolean {
    if (set.index <= this.set.index) return false
    this.set = set
    this.evacuated = new Set(set.domains)
    return true
  }

  /** Takes domains that may be evacuated, as long as no set was heard; says whether one of them is new. */
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
