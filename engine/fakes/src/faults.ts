/** What can go wrong with a stand-in engine; switched on by `POST /faults`. */
export interface EngineFaults {
  /** Transfers into this engine stop half-way until this is switched off. */
  stallTransfers: boolean
  /** New work is refused with proof that it did not run. */
  refuse: boolean
  /** Everything takes this many times as long. */
  slowFactor: number
  /** The share of reports that fail. */
  dropReports: number
  /** How old the figures of a report are. */
  reportLagMs: number
  /** The share of cache events that are left out. */
  dropCacheEvents: number
  /** Token lines are sent twice. */
  doubleFrames: boolean
  /** Every second token line is sent after its successor. */
  swapFrames: boolean
  /** Stream connections are cut after this many tokens; 0 never. */
  cutStreamsAfter: number
  /** Prefills are taken and never answered. */
  hangPrefills: boolean
  /** Releases fail. */
  failReleases: boolean
  /** The engine says of itself that it is leaving. */
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
