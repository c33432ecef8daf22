/** What may be done twice: `safe` runs any number of times, `unsafe` once, `streaming` once unless resumable. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming'

/** A service that answers a route, with its share of the route's requests. */
export interface ServiceShare {
  service: string
  weight: number
}

/** One route: the requests of one host below one path. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  kind: RouteKind
  /** The longest a request is held, in milliseconds. */
  timeoutMs: number
  /** The time within which an answer counts in full, in milliseconds. */
  targetMs: number
  /** Endpoints that one request may be sent to at most. */
  attempts: number
  /** Rank of the route; 0 is the most urgent. */
  priority: number
  shares: ServiceShare[]
  /** Whether another endpoint may continue a stream that broke off. */
  resumable: boolean
  /** The longest pause between events that still counts as in time, in milliseconds. */
  pauseMs?: number
  /** Whether callers need no key, also where the sheet has workspaces. */
  isPublic?: boolean
  /** The regions that its requests may be served and stored in; absent where any will do. */
  regions?: string[]
}

/** What the tokens or requests of a workspace are counted in. */
export type QuotaUnit = 'requests' | 'tokens'

/** How much a workspace may ask for, over all entries. */
export interface WorkspaceQuota {
  unit: QuotaUnit
  /** Units a second in the long run. */
  perSecond: number
  /** Units that may come at once above that. */
  burst: number
  /** Units that a request counts which declares no tokens; of use where the unit is tokens. */
  plainTokens: number
}

/** A group of callers with keys and limits of its own. */
export interface Workspace {
  name: string
  /** The keys that show that a caller belongs to it, in the clear as the operator sent them. */
  keys: string[]
  /** Rank; 0 is the most urgent. It comes before the rank of a route. */
  priority: number
  /** Absent where nothing is limited. */
  quota?: WorkspaceQuota
  /** The regions that its requests may be served and stored in, beside what the route says; absent where any will do. */
  regions?: string[]
}

/** What the engines of a service can hold and how fast they are. */
export interface EnginePool {
  slots: number
  kvTokens: number
  kvBytesPerToken: number
  linkMbps: number
  /** Tokens in one event of a stream. */
  tokensPerEvent: number
  /** How long an engine keeps what a prefill step left there, in milliseconds. */
  handleMs: number
  /** How long an engine is away while it changes its part, in milliseconds. */
  stageChangeMs: number
  /** Whether a running answer's memory may be copied to another engine, which then goes on with it. */
  canMove: boolean
}

/** What the endpoints of a service bear while they are cold. */
export interface ColdLimit {
  /** How long an endpoint is cold after a start, in milliseconds. */
  forMs: number
  /** Requests a second that a cold endpoint bears, over all entries. */
  perSecond: number
}

/** A service that routes name. */
export interface RoutedService {
  name: string
  /** Connections that one endpoint takes from all callers together. */
  maxConnections: number
  /** Where an endpoint says whether it takes work; absent where there is no such question. */
  healthPath?: string
  /** Present where the endpoints are engines with prefill and decode apart. */
  engine?: EnginePool
  /** Present where endpoints are cold for a while after a start. */
  cold?: ColdLimit
}

/** What a caller may send, and how slowly. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** What callers may send where a sheet does not say so. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
}

/** The whole sheet under one version. */
export interface RouteSheet {
  version: number
  routes: Route[]
  services: RoutedService[]
  limits: CallerLimits
  /** Present where callers must show a key on routes that are not public; also where the list is empty. */
  workspaces?: Workspace[]
}
