/** Faults of a fake engine, set with `POST /faults`. */
export interface EngineFaults {
  /** Transfers into this engine make no progress until the fault is cleared. */
  stallTransfers: boolean
  /** New work is refused with proof that it did not run. */
  refuse: boolean
  /** Prefills, decode steps and transfers take this many times as long. */
  slowFactor: number
  /** Share of reports that fail, from 0 to 1. */
  dropReports: number
  /** Age of the figures in a report. */
  reportLagMs: number
  /** Share of cache events that are omitted, from 0 to 1. */
  dropCacheEvents: number
  /** Token lines are sent twice. */
  doubleFrames: boolean
  /** Every second token line is sent after its successor. */
  swapFrames: boolean
  /** Stream connections are cut after this many tokens; 0 cuts none. */
  cutStreamsAfter: number
  /** Prefills run, but their requests are never answered. */
  hangPrefills: boolean
  /** Releases fail. */
  failReleases: boolean
  /** The engine reports that it is leaving. */
  leaving: boolean
}

export const NO_FAULTS: EngineFaults = {
  stallTransfers: false,
  refuse: false,
  slowFactor: 1,
  dropReports: 0,
  reportLagMs: 150,
  dropCacheEvents: 0,
  doubleFrames: false,
  swapFrames: false,
  cutStreamsAfter: 0,
  hangPrefills: false,
  failReleases: false,
  leaving: false,
}
