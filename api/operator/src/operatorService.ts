import type { ControlStatus, HistoryEntry } from '@forkstage/control'
import type { Claim } from '@forkstage/claims'
import type { ReplicaStatus } from '@forkstage/group'
import type { OrderRequest } from '@forkstage/orders'
import type { TraceEntry } from '@forkstage/runner'
import type { EndpointName, Table, VersionedTable } from '@forkstage/types'

/** An operator's confirm: the whole new table, made from a base version, under an id of its own. */
export interface ConfirmRequest {
  base: number
  confirmId: string
  table: Table
}

/** What became of a confirm. */
export type ConfirmAnswer =
  | { outcome: 'accepted'; version: number; digest: string }
  /** `differences` shows what separates the newest table from the one that was confirmed. */
  | { outcome: 'conflict'; version: number; digest: string; reason: string; differences: string[] }

/** One box's own account of itself. */
export interface BoxReport {
  box: string
  version: string
  ready: boolean
  /** Why it takes no new work; absent where it does. */
  refuses?: string
  tableVersion: number
  running: number
  queued: number
  releasesPending: number
  owns: EndpointName[]
  inFlight: Record<EndpointName, number>
  /** Endpoints that take no new work from this box now, with the reason. */
  closed: Record<EndpointName, string>
  replicas: (ReplicaStatus | { group: string; failure: string })[]
}

/** Everything `status` shows. */
export interface FleetStatus {
  control?: ControlStatus
  /** Why the control leader gave no account. */
  controlFailure?: string
  boxes: (BoxReport | { box: string; failure: string })[]
}

/** The story of one request across boxes. */
export interface Explanation {
  request: string
  claim?: Claim
  story: TraceEntry[]
  /** Boxes that did not answer; their lines are missing. */
  missing: string[]
}

/** What operators can ask of a box. */
export interface OperatorService {
  table(): VersionedTable
  confirm(request: ConfirmRequest, who: string): Promise<ConfirmAnswer>
  history(limit: number): Promise<Omit<HistoryEntry, 'delta'>[]>
  control(): Promise<ControlStatus>
  status(): Promise<FleetStatus>
  explain(request: string): Promise<Explanation>
  decisions(limit: number): { request: string; story: TraceEntry[] }[]
  replace(lost: string, withAddress: string): Promise<unknown>
  order(order: OrderRequest): Promise<{ fence: number }>
  stop(): void
  isReady(): boolean
  metrics(): Promise<string>
}
