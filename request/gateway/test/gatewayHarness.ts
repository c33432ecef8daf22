import { request as httpRequest } from 'node:http'
import { createSeededRandom, createSystemClock } from '@forkstage/clock'
import type { LostAttempt, SendingDecision, TrialAnswer } from '@forkstage/crashes'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { RateTable } from '@forkstage/limits'
import { createSilentLogger } from '@forkstage/logger'
import { QuotaLimiter, QuotaLedger, quotaLimit } from '@forkstage/quota'
import { RouteStore, type CallerLimits, type Route, type Workspace } from '@forkstage/routes'
import { AvailabilityTracker } from '@forkstage/statements'
import {
  AnswerMemory,
  BodyMemory,
  ColdEndpointLimiter,
  EndpointPool,
  regionRule,
  Ingress,
  RESERVED,
  LocalPlacer,
  GatewayRetryBudget,
  WorkspaceAdmission,
  type ModelPlace,
  type RelayParts,
  type RequestReport,
} from '../src'
import { ENGINE, endpointWithDefaults, routeWithDefaults } from './rowsWithDefaults'
import type { ReceivedAnswer } from './receivedAnswer'
import { HarnessGate } from './harnessGate'
import { TOPOLOGY } from './testTopology'
import { TEST_WIRE } from './testWire'

export { deadAddress } from './deadAddress'
export { TOPOLOGY }

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }
const QUOTA_WINDOW_MS = 8_000
const LEADING_FOR_MS = 2_000
const RUN_FOR_MS = 60_000
/** Requests per second that a cold endpoint may get from all entries. */
export const COLD_PER_SECOND = 30

/** Budget for the bodies of requests. */
export const BODY_MEMORY_BYTES = 10 * 1024 * 1024
/** How long endpoints continue serving once they have announced that they are leaving. */
const LEAVING_SERVES_MS = 2_000

/** An entry with endpoints at given addresses and one route of each kind. */
export class GatewayHarness {
  readonly reports: RequestReport[] = []
  /** Places that the placer returned, the newest last. */
  readonly places: ModelPlace[] = []
  /** Decides which connections and requests are taken on. */
  gate = new HarnessGate()
  /** Whether the entry delays its requests by itself. */
  isDelayed = false
  /** Opens connections to endpoints; they are opened directly if undefined. */
  dialer: RelayParts['dialer']
  /** Number of next requests for a place that are refused. */
  placesRefused = 0
  /** What the entry knows of the origins of streams; nothing if undefined. */
  origins: RelayParts['origins']
  /** How far the entry's clock is ahead of that of the system, in milliseconds. */
  aheadMs = 0
  /** When the machine was last suspended. */
  suspendedAt = -Infinity
  /** Called for each place that the placer returned, before it is used. */
  onPlace: () => void = () => undefined
  /** Logged warnings, each with its event and fields. */
  readonly warnings: object[] = []
  /** Sends without a complete answer. */
  readonly lost: LostAttempt[] = []
  /** Prompt parts that endpoints have written on. */
  readonly written: string[] = []
  /** Contents with a complete answer. */
  readonly served: string[] = []
  /** Suspect contents, which may run only as isolated trials, and the answer to the request for a trial. */
  readonly suspects = new Set<string>()
  isolatedAnswer: () => TrialAnswer = () => ({ type: 'later', retryAfterMs: 5_000 })
  /** Returns what is required before a request may be sent. */
  decide: (content: string, lost: string[]) => SendingDecision = (content) => {
    if (this.refused.has(content)) return { type: 'refuse', refusal: { ends: 3, leftMs: 60_000 } }
    return this.suspects.has(content) ? { type: 'isolate' } : { type: 'send' }
  }
  /** Resolves once it is known whether lost endpoints have crashed. */
  confirmed: (lost: string[]) => Promise<void> = () => Promise.resolve()
  /** Returns the leader's answer to a request for the turn of its content. */
  turnAnswer: (request: string) => TrialAnswer = () => ({ type: 'anywhere' })
  readonly turnEnds: string[] = []
  /** Endpoints where an isolated trial has ended. */
  readonly isolatedEnds: string[] = []
  /** Endpoints that are reserved for isolated trials. */
  readonly reserved = new Set<string>()
  /** Contents that are refused. */
  readonly refused = new Set<string>()
  /** Ids of endpoints whose registered process is known to have crashed. */
  readonly crashed = new Set<string>()
  /** Whether the sheet in force here is taken for the newest. */
  isCurrent = true
  /** Durations of all timers that relays have started, in milliseconds. */
  readonly timers: number[] = []
  /** Reasons for which sends to instances are withheld, by instance id. */
  readonly withheld = new Map<string, string>()
  /** The rates that endpoints advertise. */
  readonly rates = new RateTable({ clock: createSystemClock(), logger: createSilentLogger() })
  /** Milliseconds for which instances are still cold, by instance id. */
  readonly cold = new Map<string, number>()
  private constructor(
    readonly ingress: Ingress,
    readonly pool: EndpointPool,
    readonly port: number,
    /** Installs a newer sheet with these workspaces, and these routes where given. */
    readonly setWorkspaces: (workspaces: Workspace[] | undefined, routes?: Partial<Route>[]) => void,
    /** Evacuated failure domains. */
    readonly evacuated: Set<string>,
    /** The entry's retry budget. */
    readonly retryBudget: GatewayRetryBudget,
    readonly answerMemory: AnswerMemory,
    readonly bodyMemory: BodyMemory,
    /** What endpoints have announced to the entry about their availability. */
    readonly availability: AvailabilityTracker,
  ) {}

  static async start(
    endpoints: Partial<RegisteredEndpoint>[],
    routes: Partial<Route>[],
    limits: Partial<CallerLimits> = {},
    workspaces?: Workspace[],
  ): Promise<GatewayHarness> {
    const clock = createSystemClock()
    const logger = createSilentLogger()
    const evacuated = new Set<string>()
    const isEvacuated = ({ zone }: RegisteredEndpoint) => evacuated.has(zone)
    const isReserved = ({ id }: RegisteredEndpoint) => harness.reserved.has(id)
    const isBarred = (one: RegisteredEndpoint) => isEvacuated(one) || isReserved(one)
    const availability = new AvailabilityTracker({ clock, logger })
    const pool = new EndpointPool({
      zone: 'z',
      topology: TOPOLOGY,
      clock,
      random: () => 0,
      logger,
      isBarred,
      availability,
    })
    pool.update(endpoints.map((endpoint, index) => endpointWithDefaults(endpoint, index)))
    const routeStore = new RouteStore()
    const sheet = {
      version: 1,
      routes: routes.map(routeWithDefaults),
      services: [
        { name: 'plain', maxConnections: 10 },
        { name: 'model', maxConnections: 10, engine: ENGINE },
      ],
      limits: { ...LIMITS, ...limits },
      workspaces,
    }
    routeStore.install(sheet)
    // A leader that answers at once, in a fleet with this entry alone.
    let ahead = 0
    const ledger = new QuotaLedger({
      clock: { ...clock, now: () => clock.now() + ahead },
      limit: (name) => {
        const quota = routeStore.current?.workspace(name)?.quota
        return quota && quotaLimit(quota, QUOTA_WINDOW_MS)
      },
      term: () => 1,
      entries: () => 1,
      windowMs: QUOTA_WINDOW_MS,
      tolerance: { over: 0.1, slack: 0 },
    })
    // It has been the leader for long enough to have reports from its entries.
    ledger.applyReport({ entry: 'e0', spent: {} })
    ahead = LEADING_FOR_MS
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
    // The only entry, which was started a while ago.
    let later = 0
    const startedAt = clock.now()
    const cold = new ColdEndpointLimiter({
      // The clock stands still, so that on a slow machine no endpoint gets the limit of a second twice.
      clock: { ...clock, now: () => startedAt + later },
      random: () => 0.5,
      leftMs: (id) => harness.cold.get(id) ?? 0,
      hasReportedCold: () => true,
      perSecond: () => COLD_PER_SECOND,
      entries: () => 1,
    })
    later = RUN_FOR_MS
    const local = new LocalPlacer({ pool, kvTokens: () => 100_000, entries: () => 1, cold })
    const answerMemory = new AnswerMemory()
    const bodyMemory = new BodyMemory({ limitBytes: BODY_MEMORY_BYTES, clock, logger })
    const retryBudget = new GatewayRetryBudget({
      clock,
      share: 0.2,
      slack: 20,
      windowMs: 10_000,
      entries: () => 1,
    })
    const gate = new HarnessGate()
    const ingress: Ingress = new Ingress({
      parts: {
        wire: TEST_WIRE,
        pool,
        placer: {
          place: async (work) => {
            if (harness.placesRefused > 0) {
              harness.placesRefused -= 1
              return { type: 'refused', reason: 'no room in time', retryAfterMs: 1_000 }
            }
            const answer = await local.place(work)
            if (answer.type === 'place') harness.places.push(answer.place)
            if (answer.type === 'place') harness.onPlace()
            return answer
          },
        },
        retryBudget,
        answerMemory,
        sendRules: [
          ({ id }) => harness.withheld.get(id),
          (to) => (isEvacuated(to) ? 'evacuated' : undefined),
          (to, { isolatedId }) => (isReserved(to) && isolatedId !== to.id ? RESERVED : undefined),
          regionRule(TOPOLOGY),
        ],
        cold,
        // Both are read when a request arrives, since the harness does not exist yet.
        get dialer() {
          return harness.dialer
        },
        get origins() {
          return harness.origins
        },
        get rates() {
          return harness.rates
        },
        isDelayed: () => harness.isDelayed,
        availability,
        leavingServesMs: LEAVING_SERVES_MS,
        crashes: {
          recordLoss: (sending) => void harness.lost.push(sending),
          recordServed: (content) => void harness.served.push(content()),
          recordWritten: (parts) => void harness.written.push(...parts),
          decide: ({ content }, _service, lost) => harness.decide(content(), lost),
          confirmed: (lost) => harness.confirmed(lost),
          askIsolated: () => Promise.resolve(harness.isolatedAnswer()),
          askTurn: (_content, _service, request) => Promise.resolve(harness.turnAnswer(request)),
          endTurn: (_content, _service, request) => void harness.turnEnds.push(request),
          endIsolated: (_content, _service, endpoint) => void harness.isolatedEnds.push(endpoint),
          hasCrashed: (id) => harness.crashed.has(id),
          refusal: ({ content }) =>
            harness.refused.has(content()) ? { ends: 3, leftMs: 60_000 } : undefined,
        },
        clock: {
          ...clock,
          now: () => clock.now() + harness.aheadMs,
          suspendedAt: () => harness.suspendedAt,
          after: (ms, callback) => {
            harness.timers.push(ms)
            return clock.after(ms, callback)
          },
        },
        random: createSeededRandom(1),
        logger: { ...logger, warn: (event, fields) => void harness.warnings.push({ event, ...fields }) },
      },
      admission: new WorkspaceAdmission({
        wire: TEST_WIRE,
        quotas,
        isCurrent: () => harness.isCurrent,
        clock,
        logger,
      }),
      bodyMemory,
      routes: () => routeStore.current,
      gate,
      onResult: (report) => harness.reports.push(report),
    })
    await new Promise<void>((resolve) => ingress.server.listen(0, '127.0.0.1', resolve))
    const { port } = ingress.server.address() as { port: number }
    const install = (newer: Workspace[] | undefined, newRoutes: Partial<Route>[] = routes) =>
      void routeStore.install({
        ...sheet,
        version: routeStore.version + 1,
        routes: newRoutes.map(routeWithDefaults),
        workspaces: newer,
      })
    const harness: GatewayHarness = new GatewayHarness(
      ingress,
      pool,
      port,
      install,
      evacuated,
      retryBudget,
      answerMemory,
      bodyMemory,
      availability,
    )
    harness.gate = gate
    return harness
  }

  stop(): void {
    void this.ingress.closeAll()
  }

  /** Sends a request and collects its answer, even if it is cut off. */
  send(
    path: string,
    options: { headers?: Record<string, string>; body?: string; method?: string } = {},
  ): Promise<ReceivedAnswer> {
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
    const answer = new Promise<ReceivedAnswer>((resolve, reject) => {
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
