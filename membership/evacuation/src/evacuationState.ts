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
    if (this.isNoOp(domain, isEvacuated)) return { index: this.set.index, outcome: 'held' }
    // A delayed duplicate must not undo an order that has been acknowledged since.
    if (this.set.index > knownIndex) return { index: this.set.index, outcome: 'overtaken' }
    const others = this.set.domains.filter((one) => one !== domain)
    this.set = { index, domains: isEvacuated ? [...others, domain].sort() : others }
    return { index, outcome: 'changed' }
  }

  /** Replaces the set with that of a snapshot. */
  restore(set: EvacuationSet): void {
    this.set = set
  }
}
