import type { ControlStatus, HistoryEntry } from '@forkstage/control'
import type { Claim } from '@forkstage/claims'
import type { ReplicaStatus } from '@forkstage/group'
import type { OrderRequest } from '@forkstage/orders'
import type { TraceEntry } from '@forkstage/runner'
import type { EndpointName, Table, VersionedTable } from '@forkstage/types'

/** An operator's confirmation of a whole new table, made from a base version; `confirmId` identifies resends. */
export interface ConfirmRequest {
  base: number
  confirmId: string
  table: Table
}

/** The result of a confirmation. */
export type ConfirmAnswer =
  | { outcome: 'accepted'; version: number; digest: string }
  /** `differences` lists the differences between the newest table and the confirmed one. */
  | { outcome: 'conflict'; version: number; digest: string; reason: string; differences: string[] }

/** The state of a box as reported by itself. */
export interface BoxReport {
  box: string
  version: string
  ready: boolean
  /** Why the box accepts no new requests; absent if it does. */
  refuses?: string
  tableVersion: number
  running: number
  queued: number
  releasesPending: number
  owns: EndpointName[]
  inFlight: Record<EndpointName, number>
  /** Endpoints that accept no new requests from this box, with the reason. */
  closed: Record<EndpointName, string>
  replicas: (ReplicaStatus | { group: string; failure: string })[]
}

/** The output of the command `status`. */
export interface FleetStatus {
  control?: ControlStatus
  /** Why the status of the control leader is missing. */
  controlFailure?: string
  boxes: (BoxReport | { box: string; failure: string })[]
}

/** The trace of one request across boxes. */
export interface Explanation {
  request: string
  claim?: Claim
  story: TraceEntry[]
  /** Boxes that did not answer; their entries are missing. */
  missing: string[]
}

/** The operations that a box offers to operators. */
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
