import { delay, type Clock } from '@forkstage/clock'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Address } from '@forkstage/types'
import { unpackSheet } from './packSheet'
import { SHEET_METHOD, type PackedSheet, type WatchedSheet } from './watchTypes'

/** Options of {@link SheetFetcher}. */
export interface SheetFetcherOptions {
  peers: PeerCaller
  clock: Clock
  /** The version of the sheet in use. */
  installedVersion: () => number
  /** Control machines that know this version or a newer one, the most promising first. */
  sources: (version: number) => Address[]
  onSheet: (sheet: WatchedSheet) => void
}

const FETCH_DEADLINE_MS = 1_500
const RETRY_DELAY_MS = 50

/**
 * Fetches newer sheets from one control machine at a time, because several copies would delay each other on a
 * slow link.
 */
export class SheetFetcher {
  private fetching = false
  private wantedVersion = -1
  /** The newest version seen; -1 before the first. */
  newestKnown = -1

  constructor(private readonly options: SheetFetcherOptions) {}

  /** Starts to fetch a version, unless it is known already or not newer than the one in use. */
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
      // Without this, a sheet that this machine cannot read would be fetched again and again.
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
