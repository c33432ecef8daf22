import type { FailureDomain } from '@forkstage/types'
import {
  NO_EVACUATIONS,
  type EvacuationResult,
  type EvacuationSet,
  type SetEvacuation,
} from './evacuationTypes'

/** The replicated state: equal commands at equal indexes give equal sets at every replica. */
export class EvacuationState {
  private set: EvacuationSet = NO_EVACUATIONS

  /** The set as far as commands have been applied here. */
  get current(): EvacuationSet {
    return this.set
  }

  /** Whether an order would change nothing. */
  isNoOp(domain: FailureDomain, isEvacuated: boolean): boolean {
    return this.set.domains.includes(domain) === isEvacuated
  }

  /** The domains that are evacuated here, with those that commands which may be committed would add. */
  possiblyEvacuated(commands: SetEvacuation[]): FailureDomain[] {
    const added = commands.filter(({ isEvacuated }) => isEvacuated).map(({ domain }) => domain)
    return [...new Set([...this.set.domains, ...added])].sort()
  }

  /**
   * Applies a committed command.
   * @param index its place in the log.
   */
  apply({ domain, isEvacuated, knownIndex }: SetEvacuation, index: number): EvacuationResult {
    if (this.isNoOp(domain, isEvacuated)) return { index: this.set.index, outcome: 'held' }
    // A copy that was long on its way must not undo what was ordered and acknowledged since.
    if (this.set.index > knownIndex) return { index: this.set.index, outcome: 'overtaken' }
    const others = this.set.domains.filter((one) => one !== domain)
    this.set = { index, domains: isEvacuated ? [...others, domain].sort() : others }
    return { index, outcome: 'changed' }
  }

  /** Replaces the state by one from a snapshot. */
  restore(set: EvacuationSet): void {
    this.set = set
  }
}
