import type { FailureDomain } from '@forkstage/types'

/** The failure domains that are evacuated. */
export interface EvacuationSet {
  /** The log index of the last change; -1 before any. Of two sets the one with the higher index is newer. */
  index: number
  /** In the order of their names. */
  domains: FailureDomain[]
}

/** Before the first change. */
export const NO_EVACUATIONS: EvacuationSet = { index: -1, domains: [] }

/** The index of a machine's belief before it has heard any set. */
export const UNKNOWN_INDEX = -2

/** A command of the replicated log: begins or withdraws the evacuation of one failure domain. */
export interface SetEvacuation {
  type: 'setEvacuation'
  domain: FailureDomain
  isEvacuated: boolean
  /** The index of the last change that was known where the order came in; a command older than a change does nothing. */
  knownIndex: number
}

/** What became of a {@link SetEvacuation}. */
export interface EvacuationResult {
  /** The log index of the last change of the set. */
  index: number
  /** `held`: it was so already. `overtaken`: another change came between, and nothing was done. */
  outcome: 'changed' | 'held' | 'overtaken'
}
