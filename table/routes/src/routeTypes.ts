/** How often a request may run: `safe` any number of times, `unsafe` once, `streaming` once unless resumable. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming'

/** A service of a route, with its weight among the route's services. */
export interface ServiceShare {
  service: string
  weight: number
}

/** A route: all requests to one host below one path prefix. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  kind: RouteKind
  /** Maximum duration of a request, in milliseconds. */
  timeoutMs: number
  /** Time within which an answer counts in full, in milliseconds. */
  targetMs: number
  /** Maximum number of endpoints that one request is sent to. */
  attempts: number
  /** Rank of the route; 0 is the most urgent. */
  priority: number
  shares: ServiceShare[]
  /** Whether another endpoint may continue an interrupted stream. */
  resumable: boolean
  /** Longest pause between two events of a stream that counts as in time, in milliseconds. */
  pauseMs?: number
  /** Whether callers need no key even if the sheet has workspaces. */
  isPublic?: boolean
  /** Regions in which its requests may be served and stored; absent if any region is allowed. */
  regions?: string[]
}

/** The unit of a workspace's quota. */
export type QuotaUnit = 'requests' | 'tokens'

/** Rate limit of a workspace, over all entries. */
export interface WorkspaceQuota {
  unit: QuotaUnit
  /** Sustained rate, in units per second. */
  perSecond: number
  /** Units accepted at once in addition to the sustained rate. */
  burst: number
  /** Units counted for a request that declares no tokens; used if the unit is tokens. */
  plainTokens: number
}

/** A group of callers with keys and limits of its own. */
export interface Workspace {
  name: string
  /** Keys of its callers, in the clear as the operator sent them. */
  keys: string[]
  /** Rank; 0 is the most urgent. Takes precedence over the rank of a route. */
  priority: number
  /** Absent if the workspace is not limited. */
  quota?: WorkspaceQuota
  /** Regions in which its requests may be served and stored, within those of the route; absent if any is allowed. */
  regions?: string[]
}

/** Capacity and speed of the engines of a service. */
export interface EnginePool {
  slots: number
  kvTokens: number
  kvBytesPerToken: number
  linkMbps: number
  /** Tokens in one event of a stream. */
  tokensPerEvent: number
  /** How long an engine keeps the KV cache of a prefill step, in milliseconds. */
  handleMs: number
  /** How long an engine is unavailable while it changes its stage, in milliseconds. */
  stageChangeMs: number
  /** Whether the KV cache of a running request may be copied to another engine, which then continues the request. */
  canMove: boolean
}

/** Rate limit of the endpoints of a service while they are cold. */
export interface ColdLimit {
  /** How long an endpoint is cold after a start, in milliseconds. */
  forMs: number
  /** Requests per second to a cold endpoint, over all entries. */
  perSecond: number
}

/** A service that routes refer to. */
export interface RoutedService {
  name: string
  /** Maximum number of connections that one endpoint accepts from all callers together. */
  maxConnections: number
  /** Path of an endpoint's health check; absent if endpoints have none. */
  healthPath?: string
  /** Present if the endpoints are engines with separate prefill and decode. */
  engine?: EnginePool
  /** Present if endpoints are cold for a while after a start. */
  cold?: ColdLimit
}

/** Limits on the size and duration of a caller's request. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** Caller limits for a sheet that sets none. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
}

/** One version of the route sheet. */
export interface RouteSheet {
  version: number
  routes: Route[]
  services: RoutedService[]
  limits: CallerLimits
  /** If present, even if empty, callers must present a key on routes that are not public. */
  workspaces?: Workspace[]
}
