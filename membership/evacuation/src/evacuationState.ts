import type { FailureDomain } from '@forkstage/types'
import {
  NO_EVACUATIONS,
  type EvacuationResult,
  type EvacuationSet,
  type SetEvacuation,
} from './evacuationTypes'

/**
 * The replicated set of evacuated domains. The same commands at the same indexes give the same set on every
 * replica.
 */
export class EvacuationState {
  private set: EvacuationSet = NO_EVACUATIONS
  private fence = NO_EVACUATIONS.index

  /**
   * Log index of the last order that was acknowledged, also if it changed nothing. Every order whose sender knew only of
   * earlier ones is void.
   */
  get lastOrderIndex(): number {
    return this.fence
  }

  /** The set after the commands applied so far. */
  get current(): EvacuationSet {
    return this.set
  }

  /** Whether a domain is already in the given state, so that a command would change nothing. */
  isNoOp(domain: FailureDomain, isEvacuated: boolean): boolean {
    return this.set.domains.includes(domain) === isEvacuated
  }

  /**
   * The evacuated domains and those that the given commands would add if they are committed, sorted by name.
   */
  possiblyEvacuated(commands: SetEvacuation[]): FailureDomain[] {
    const added = commands.filter(({ isEvacuated }) => isEvacuated).map(({ domain }) => domain)
    return [...new Set([...this.set.domains, ...added])].sort()
  }

  /**
   * Applies a committed command.
   * @param index the command's index in the log.
   */
  apply({ domain, isEvacuated, knownIndex }: SetEvacuation, index: number): EvacuationResult {
    if (this.isNoOp(domain, isEvacuated)) {
      this.fence = index
      return { index: this.set.index, outcome: 'held' }
    }
    if (this.fence > knownIndex) return { index: this.fence, outcome: 'overtaken' }
    this.fence = index
    const others = this.set.domains.filter((one) => one !== domain)
    this.set = { index, domains: isEvacuated ? [...others, domain].sort() : others }
    return { index, outcome: 'changed' }
  }

  /** Replaces the state with that of a snapshot. */
  restore(set: EvacuationSet, lastOrderIndex: number): void {
    this.set = set
    this.fence = lastOrderIndex
  }
}
