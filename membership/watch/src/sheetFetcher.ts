import { delay, type Clock } from '@forkstage/clock'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Address } from '@forkstage/types'
import { unpackSheet } from './packSheet'
import { SHEET_METHOD, type PackedSheet, type WatchedSheet } from './watchTypes'

/** Options of {@link SheetFetcher}. */
export interface SheetFetcherOptions {
  peers: PeerCaller
  clock: Clock
  /** The version in force here. */
  installedVersion: () => number
  /** Control machines that know a version at least, the likeliest first. */
  sources: (version: number) => Address[]
  onSheet: (sheet: WatchedSheet) => void
}

const FETCH_DEADLINE_MS = 1_500
const RETRY_DELAY_MS = 50

/** Fetches newer sheets from one control machine at a time: on a slow link several copies would delay each other. */
export class SheetFetcher {
  private fetching = false
  private wantedVersion = -1
  /** The newest version ever heard of. */
  newestKnown = -1

  constructor(private readonly options: SheetFetcherOptions) {}

  /** Notes that there is a version, and fetches it unless it is here. */
  fetchIfNewer(version: number): void {
    if (version <= Math.max(this.newestKnown, this.options.installedVersion())) return
    this.newestKnown = version
    this.wantedVersion = version
    if (!this.fetching) void this.fetch()
  }

  private async fetch(): Promise<void> {
    const { installedVersion, sources, clock } = this.options
    this.fetching = true
    for (let attempt = 0; installedVersion() < this.wantedVersion; attempt += 1) {
      const known = sources(this.wantedVersion)
      const source = known[attempt % Math.max(1, known.length)]
      const isFetched = source !== undefined && (await this.fetchFrom(source))
      if (!isFetched) await delay(clock, RETRY_DELAY_MS)
    }
    this.fetching = false
  }

  private async fetchFrom(source: Address): Promise<boolean> {
    const { peers, onSheet } = this.options
    try {
      const options = { deadline: FETCH_DEADLINE_MS, step: 'fetch sheet' }
      const answer = await peers.call<PackedSheet | null>(source, SHEET_METHOD, {}, options)
      if (answer === null) return false
      onSheet(unpackSheet(answer))
      // One that nobody here can read would be asked for again and again.
      this.wantedVersion = Math.max(
        this.options.installedVersion(),
        answer.version < this.wantedVersion ? this.wantedVersion : -1,
      )
      return true
    } catch {
      return false
    }
  }
}
