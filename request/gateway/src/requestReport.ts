import type { Millis } from '@forkstage/types'
import type { RelayResult } from './relayParts'

/** The result of a request, for the log and the metrics. */
export interface RequestReport extends RelayResult {
  request: string
  route: string
  /** The workspace that admitted the request by its key; absent on public routes and where there are no workspaces. */
  workspace?: string
  /** The id of the request that began the stream, if the caller resumes one. */
  resumes?: string
  tookMs: Millis
}
