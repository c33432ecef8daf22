import type { BoxId, FailureDomain } from '@forkstage/types'

/** The set of evacuated failure domains. */
export interface EvacuationSet {
  /** Log index of the last change; -1 before the first. The set with the higher index is newer. */
  index: number
  /** Sorted by name. */
  domains: FailureDomain[]
}

/** The set before the first change. */
export const NO_EVACUATIONS: EvacuationSet = { index: -1, domains: [] }

/** Index of the set on a machine that has not received one yet. */
export const UNKNOWN_INDEX = -2

/** Replicated command: starts or withdraws the evacuation of one failure domain. */
export interface SetEvacuation {
  type: 'setEvacuation'
  domain: FailureDomain
  isEvacuated: boolean
  /**
   * Index of the last order known to the machine that received this one. The command does nothing if a later order
   * is applied first.
   */
  knownIndex: number
  /** The control machine that received the order, for the log; absent in entries of earlier versions. */
  receivedBy?: BoxId
}

/** The result of a {@link SetEvacuation}. */
export interface EvacuationResult {
  /** Log index of the last change of the set; of the last order if the outcome is `overtaken`. */
  index: number
  /**
   * `held`: the domain was already in the requested state. `overtaken`: an order after `knownIndex` was
   * applied first, so the command did nothing.
   */
  outcome: 'changed' | 'held' | 'overtaken'
}
