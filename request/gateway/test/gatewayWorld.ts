import { createServer as createTcp, connect } from 'node:net'
import { request as httpRequest } from 'node:http'
import { createSeededRandom, createSystemClock } from '@forkstage/clock'
import type { LostSending, SendingDecision, TrialAnswer } from '@forkstage/crashes'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { RateBook } from '@forkstage/limits'
import { createSilentLogger } from '@forkstage/logger'
import { QuotaLimiter, QuotaLedger, quotaLimit } from '@forkstage/quota'
import { RouteBook, type CallerLimits, type Route, type Workspace } from '@forkstage/routes'
import { StatementBook } from '@forkstage/statements'
import { Topology } from '@forkstage/topology'
import {
  ColdGate,
  EndpointPool,
  homeRule,
  Ingress,
  KEPT_FREE,
  LocalPlacer,
  RetryAllowance,
  WorkspaceGate,
  type ModelPlace,
  type RequestReport,
} from '../src'
import { fullEndpoint, fullRoute } from './fullRows'
import { TEST_WIRE } from './testWire'

/** An answer as a caller got it. */
export interface GotAnswer {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: string
  /** Whether the answer ended as a whole one. */
  isWhole: boolean
}

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }

/** Two failure domains in each of three regions; `z` is the entry's own. */
export const TOPOLOGY = new Topology({
  z: 'west',
  z2: 'west',
  e1: 'east',
  e2: 'east',
  s1: 'south',
  s2: 'south',
})

const QUOTA_WINDOW_MS = 8_000
const LED_FOR_MS = 2_000
const RUN_FOR_MS = 60_000
/** What a cold endpoint may get from all entries. */
export const COLD_PER_SECOND = 30

const ENGINE = {
  slots: 8,
  kvTokens: 100_000,
  kvBytesPerToken: 1,
  linkMbps: 1,
  tokensPerEvent: 1,
  handleMs: 5_000,
  stageChangeMs: 1,
  canMove: true,
}

/** How long endpoints go on serving once they have said that they leave. */
const LEAVING_SERVES_MS = 2_000

/** An entry over endpoints at given addresses, with one route of each kind. */
export class GatewayWorld {
  readonly reports: RequestReport[] = []
  /** Places that were given, the newest last. */
  readonly places: ModelPlace[] = []
  /** How many of the next places are refused. */
  placesRefused = 0
  /** When the machine was last suspended. */
  suspendedAt = -Infinity
  /** Called with each place that was given, before it is used. */
  onPlace: () => void = () => undefined
  /** Warnings in the log, as their event and its fields. */
  readonly warnings: object[] = []
  /** Sendings that got no whole answer. */
  readonly lost: LostSending[] = []
  /** Contents that got a whole answer. */
  readonly served: string[] = []
  /** Contents that may run only where nothing else does, and where that is. */
  readonly suspects = new Set<string>()
  alone: () => TrialAnswer = () => ({ type: 'later', retryAfterMs: 5_000 })
  /** What must happen before a request leaves. */
  decide: (content: string, lost: string[]) => SendingDecision = (content) => {
    if (this.refused.has(content)) return { type: 'refuse', refusal: { ends: 3, leftMs: 60_000 } }
    return this.suspects.has(content) ? { type: 'isolate' } : { type: 'send' }
  }
  /** Resolves once it is known whether lost endpoints have crashed. */
  confirmed: (lost: string[]) => Promise<void> = () => Promise.resolve()
  /** What the leader says to who asks for the turn of its content. */
  turn: (request: string) => TrialAnswer = () => ({ type: 'anywhere' })
  readonly turnEnds: string[] = []
  /** Endpoints where such a run has ended. */
  readonly isolatedEnds: string[] = []
  /** Endpoints that are kept free. */
  readonly keptFree = new Set<string>()
  /** Contents that are refused. */
  readonly refused = new Set<string>()
  /** Whether the sheet here counts as the newest. */
  isCurrent = true
  /** How long each timer was set for that relays have begun, in milliseconds. */
  readonly timers: number[] = []
  /** Why nothing may leave for an instance, by its id. */
  readonly withheld = new Map<string, string>()
  /** The rates that endpoints name. */
  readonly rates = new RateBook({ clock: createSystemClock(), logger: createSilentLogger() })
  /** Instances that are cold: how much longer, by their id. */
  readonly cold = new Map<string, number>()
  private constructor(
    readonly ingress: Ingress,
    readonly pool: EndpointPool,
    readonly port: number,
    /** Puts a newer sheet with these workspaces, and these routes if given, in force. */
    readonly setWorkspaces: (workspaces: Workspace[] | undefined, routes?: Partial<Route>[]) => void,
    /** Failure domains that get nothing. */
    readonly evacuated: Set<string>,
    /** The entry's part of second sendings. */
    readonly allowance: RetryAllowance,
    /** What endpoints have said in their answers of what they want from the entry. */
    readonly statements: StatementBook,
  ) {}

  static async start(
    endpoints: Partial<RegisteredEndpoint>[],
    routes: Partial<Route>[],
    limits: Partial<CallerLimits> = {},
    workspaces?: Workspace[],
  ): Promise<GatewayWorld> {
    const clock = createSystemClock()
    const logger = createSilentLogger()
    const evacuated = new Set<string>()
    const isEvacuated = ({ zone }: RegisteredEndpoint) => evacuated.has(zone)
    const isKeptFree = ({ id }: RegisteredEndpoint) => world.keptFree.has(id)
    const isBarred = (one: RegisteredEndpoint) => isEvacuated(one) || isKeptFree(one)
    const statements = new StatementBook({ clock, logger })
    const pool = new EndpointPool({
      zone: 'z',
      topology: TOPOLOGY,
      clock,
      random: () => 0,
      logger,
      isBarred,
      statements,
    })
    pool.update(endpoints.map((endpoint, index) => fullEndpoint(endpoint, index)))
    const book = new RouteBook()
    const sheet = {
      version: 1,
      routes: routes.map(fullRoute),
      services: [
        { name: 'plain', maxConnections: 10 },
        { name: 'model', maxConnections: 10, engine: ENGINE },
      ],
      limits: { ...LIMITS, ...limits },
      workspaces,
    }
    book.install(sheet)
    // A leader that answers at once, as this one entry's fleet has it.
    let ahead = 0
    const ledger = new QuotaLedger({
      clock: { ...clock, now: () => clock.now() + ahead },
      limit: (name) => {
        const quota = book.current?.workspace(name)?.quota
        return quota && quotaLimit(quota, QUOTA_WINDOW_MS)
      },
      term: () => 1,
      entries: () => 1,
      windowMs: QUOTA_WINDOW_MS,
      tolerance: { over: 0.1, slack: 0 },
    })
    // It has led for long enough to have heard from its entries.
    ledger.applyReport({ entry: 'e0', spent: {} })
    ahead = LED_FOR_MS
    const quotas = new QuotaLimiter({
      entry: 'e0',
      life: 'first',
      clock,
      random: createSeededRandom(5),
      report: (report) => Promise.resolve(ledger.applyReport(report)),
      leader: () => 'leader',
      entries: () => 1,
      windowMs: QUOTA_WINDOW_MS,
      reportEveryMs: 500,
    })
    // The only entry, which has run for a while.
    let later = 0
    const startedAt = clock.now()
    const cold = new ColdGate({
      // Stands still, so that on a slow machine no endpoint gets a second time what it bears in one second.
      clock: { ...clock, now: () => startedAt + later },
      random: () => 0.5,
      leftMs: (id) => world.cold.get(id) ?? 0,
      hasSaid: () => true,
      perSecond: () => COLD_PER_SECOND,
      entries: () => 1,
    })
    later = RUN_FOR_MS
    const local = new LocalPlacer({ pool, kvTokens: () => 100_000, entries: () => 1, cold })
    const allowance = new RetryAllowance({
      clock,
      share: 0.2,
      slack: 20,
      windowMs: 10_000,
      entries: () => 1,
    })
    const ingress: Ingress = new Ingress({
      parts: {
        wire: TEST_WIRE,
        pool,
        placer: {
          place: async (work) => {
            if (world.placesRefused > 0) {
              world.placesRefused -= 1
              return { type: 'refused', reason: 'no room in time', retryAfterMs: 1_000 }
            }
            const answer = await local.place(work)
            if (answer.type === 'place') world.places.push(answer.place)
            if (answer.type === 'place') world.onPlace()
            return answer
          },
        },
        allowance,
        sendRules: [
          ({ id }) => world.withheld.get(id),
          (to) => (isEvacuated(to) ? 'evacuated' : undefined),
          (to, { isolatedAt }) => (isKeptFree(to) && isolatedAt !== to.id ? KEPT_FREE : undefined),
          homeRule(TOPOLOGY),
        ],
        cold,
        // Read when a request comes: the world is not there yet.
        get rates() {
          return world.rates
        },
        statements,
        leavingServesMs: LEAVING_SERVES_MS,
        crashes: {
          noteLost: (sending) => void world.lost.push(sending),
          noteServed: (content) => void world.served.push(content()),
          decide: (content, _service, lost) => world.decide(content(), lost),
          confirmed: (lost) => world.confirmed(lost),
          askIsolated: () => Promise.resolve(world.alone()),
          askTurn: (_content, _service, request) => Promise.resolve(world.turn(request)),
          noteTurnEnd: (_content, _service, request) => void world.turnEnds.push(request),
          noteIsolatedEnd: (_content, _service, endpoint) => void world.isolatedEnds.push(endpoint),
          refusal: (content) => (world.refused.has(content()) ? { ends: 3, leftMs: 60_000 } : undefined),
        },
        clock: {
          ...clock,
          suspendedAt: () => world.suspendedAt,
          after: (ms, callback) => {
            world.timers.push(ms)
            return clock.after(ms, callback)
          },
        },
        random: createSeededRandom(1),
        logger: { ...logger, warn: (event, fields) => void world.warnings.push({ event, ...fields }) },
      },
      gate: new WorkspaceGate({ wire: TEST_WIRE, quotas, isCurrent: () => world.isCurrent, clock, logger }),
      routes: () => book.current,
      onResult: (report) => world.reports.push(report),
    })
    await new Promise<void>((resolve) => ingress.server.listen(0, '127.0.0.1', resolve))
    const { port } = ingress.server.address() as { port: number }
    const install = (newer: Workspace[] | undefined, newRoutes: Partial<Route>[] = routes) =>
      void book.install({
        ...sheet,
        version: book.version + 1,
        routes: newRoutes.map(fullRoute),
        workspaces: newer,
      })
    const world: GatewayWorld = new GatewayWorld(
      ingress,
      pool,
      port,
      install,
      evacuated,
      allowance,
      statements,
    )
    return world
  }

  stop(): void {
    this.ingress.closeAll()
  }

  /** Sends a request and gathers its answer, also one that breaks off. */
  send(
    path: string,
    options: { headers?: Record<string, string>; body?: string; method?: string } = {},
  ): Promise<GotAnswer> {
    const { request, answer } = this.open(path, options)
    request.end(options.body)
    return answer
  }

  /** Opens a request without ending it. */
  open(path: string, options: { headers?: Record<string, string>; body?: string; method?: string } = {}) {
    const request = httpRequest({
      host: '127.0.0.1',
      port: this.port,
      path,
      method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
      agent: false,
      headers: { host: 'h.example', 'x-id': 'r1', 'x-deadline': '4000', ...options.headers },
    })
    const answer = new Promise<GotAnswer>((resolve, reject) => {
      request.on('error', reject)
      request.on('response', (response) => {
        let body = ''
        response.on('data', (bytes: Buffer) => (body += bytes.toString()))
        const done = () =>
          resolve({
            status: response.statusCode!,
            headers: response.headers,
            body,
            isWhole: response.complete,
          })
        response.on('end', done)
        response.on('error', done)
      })
    })
    return { request, answer }
  }
}

/** An address where nobody listens. */
export async function deadAddress(): Promise<string> {
  const server = createTcp()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  await new Promise<void>((resolve) => server.close(() => resolve()))
  return `127.0.0.1:${port}`
}

/** Opens a bare connection to the entry. */
export function openSocket(port: number) {
  return connect({ host: '127.0.0.1', port })
}
