import type { Address, EndpointName, FailureDomain } from './names'

/** What an endpoint serves: prefill or decode of model requests, or plain requests. */
export type Pool = 'prefill' | 'decode' | 'plain'
/** Whether an endpoint receives new requests, only finishes those it has, or is out of service. */
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
  /** Relative share of the pool's traffic; an endpoint of weight 0 receives no new requests. */
  weight: number
  /** Maximum number of requests in flight. */
  maxInFlight: number
  /** Maximum number of tokens in the endpoint's KV cache; 0 if it has none. */
  kvTokens: number
  /** Maximum prompt tokens per second; 0 means no limit. */
  promptTokensPerSecond: number
  state: RowState
  /** Whether the endpoint refuses orders with an old fence. */
  checksFences: boolean
  /** Whether requests to this endpoint may be repeated, unless the caller specifies otherwise. */
  repeatable: boolean
}

/** One row of the link sheet: the bandwidth from one failure domain to another. */
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

/** The changes from one table to the next. */
export interface TableDelta {
  upsertEndpoints: EndpointRow[]
  removeEndpoints: EndpointName[]
  upsertLinks: LinkRow[]
  /** Removed links as `from>to`. */
  removeLinks: string[]
}

/** A table with its version. */
export interface VersionedTable {
  version: number
  /** SHA-256 over the canonical form of the table, in hex. */
  digest: string
  table: Table
}
