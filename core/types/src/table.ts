import type { Address, EndpointName, FailureDomain } from './names'

/** What an endpoint serves: one half of a model request, or plain calls. */
export type Pool = 'prefill' | 'decode' | 'plain'
/** Whether an endpoint gets new work, finishes what it has, or is out. */
export type RowState = 'serve' | 'drain' | 'out'

/** One row of the operators' table: an endpoint with its weight and limits. */
export interface EndpointRow {
  endpoint: EndpointName
  address: Address
  domain: FailureDomain
  service: string
  pool: Pool
  /** Models served; empty for plain services. */
  models: string[]
  /** Relative share of the pool's traffic; 0 takes no new work. */
  weight: number
  /** Requests in flight at most. */
  maxInFlight: number
  /** Tokens of KV cache the endpoint may hold at most; 0 where it has none. */
  kvTokens: number
  /** Prompt tokens a second at most; 0 means no limit. */
  promptTokensPerSecond: number
  state: RowState
  /** Whether the endpoint refuses orders with an old fence. */
  checksFences: boolean
  /** Whether calls to this endpoint may be repeated unless the caller says otherwise. */
  repeatable: boolean
}

/** One row of the link sheet: the rate between two failure domains, per direction. */
export interface LinkRow {
  from: FailureDomain
  to: FailureDomain
  megabitsPerSecond: number
}

/** A whole table: both sheets. */
export interface Table {
  endpoints: EndpointRow[]
  links: LinkRow[]
}

/** What changes one table into the next. */
export interface TableDelta {
  upsertEndpoints: EndpointRow[]
  removeEndpoints: EndpointName[]
  upsertLinks: LinkRow[]
  /** Removed links as `from>to`. */
  removeLinks: string[]
}

/** A table with its place in the history. */
export interface VersionedTable {
  version: number
  /** SHA-256 over the canonical form of the table, in hex. */
  digest: string
  table: Table
}
