import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { createSeededRandom, ManualClock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { AnswerMemory, EndpointPool, GatewayRetryBudget, HeldBody, type RelayParts } from '../src'
import { relayPlain } from '../src/plainRelay'
import type { RelayJob } from '../src/relayParts'
import { FakeWorker, type SeenRequest } from './fakeWorker'
import { endpointWithDefaults, routeWithDefaults } from './rowsWithDefaults'
import { TEST_WIRE } from './testWire'

const STEP_MS = 5
const REST_STEP_MS = 100
/** Skips the first seconds of an entry, in which it assumes many entries. */
const SETTLED_MS = 31_000
const SLOTS = 6
const DEADLINE_MS = 3_000
const ROUTE = routeWithDefaults({ kind: 'safe', targetMs: 300, timeoutMs: 1_500, attempts: 2 })
/** Event loop turns without activity after which the sockets count as idle. */
const QUIET_TURNS = 3

/** The answer to a caller. */
export interface Outcome {
  sentAt: number
  status: number
  tookMs: number
  /** Value of `Retry-After` in seconds, if any. */
  retryAfter?: number
}

/** How an endpoint answers a request. */
export interface Work {
  inMs: number
  /** Returns the answer; called when it is sent. */
  answer: () => string
}

/** Entries and plain endpoints on one manual clock; requests go over real sockets. */
export abstract class PlainHarness {
  readonly clock = new ManualClock(100_000)
  readonly random = createSeededRandom(40)
  readonly outcomes: Outcome[] = []
  readonly entries: RelayParts[] = []
  /** Connections that one endpoint accepts from all entries. */
  maxConnections = 100
  protected readonly listeners: FakeWorker[] = []
  private held = 0
  private count = 0
  private running = 0
  /** The highest number of requests that all endpoints held at once. */
  maxHeld = 0

  constructor(protected readonly entryCount: number) {}

  /** Called when an endpoint receives a request; returns when and what it answers. */
  protected abstract work(index: number, request: SeenRequest, entry: number): Work

  /** Returns the parts of an entry that differ from the defaults. */
  protected abstract partsOf(entry: number): Partial<RelayParts>

  protected async open(endpointCount: number): Promise<void> {
    for (let index = 0; index < endpointCount; index += 1)
      this.listeners.push(await FakeWorker.start((request) => this.onRequest(index, request)))
    for (let index = 0; index < this.entryCount; index += 1) this.entries.push(this.createEntry(index))
    this.clock.advance(SETTLED_MS)
  }

  async stop(): Promise<void> {
    await Promise.all(this.listeners.map((listener) => listener.stop()))
  }

  /** Sends `perSecond` requests for `forMs`, each to a random entry or to the one that `at` returns. */
  async runLoad(
    perSecond: number,
    forMs: number,
    at: (draw: number) => number = (draw) => Math.floor(draw * this.entries.length),
  ) {
    const end = this.clock.now() + forMs
    let due = this.clock.now()
    while (this.clock.now() < end) {
      for (; due <= this.clock.now(); due += 1_000 / perSecond) this.call(at(this.random()))
      await this.settle()
      this.clock.advance(STEP_MS)
    }
    await this.settle()
  }

  /** Advances the clock without sending requests. */
  async advanceIdle(forMs: number): Promise<void> {
    for (let passed = 0; passed < forMs; passed += REST_STEP_MS) {
      this.clock.advance(REST_STEP_MS)
      await this.settle()
    }
  }

  /** Advances the clock until all requests have ended. */
  async drain(): Promise<void> {
    while (this.running > 0) {
      this.clock.advance(STEP_MS)
      await this.settle()
    }
  }

  /** Returns the share of requests sent since a time that were served within the target. */
  servedInTime(since = 0): number {
    const all = this.outcomes.filter(({ sentAt }) => sentAt >= since)
    return all.filter(({ status, tookMs }) => status === 200 && tookMs <= ROUTE.targetMs).length / all.length
  }

  private createEntry(index: number): RelayParts {
    const { clock, random } = this
    const logger = createSilentLogger()
    const parts = this.partsOf(index)
    const pool = new EndpointPool({ zone: 'z', availability: parts.availability, clock, random, logger })
    pool.update(this.endpoints())
    const retryBudget = new GatewayRetryBudget({
      clock,
      share: 0.2,
      slack: 50,
      windowMs: 10_000,
      entries: () => this.entries.length,
    })
    const placer = { place: () => Promise.reject(new Error('no model requests here')) }
    return {
      wire: TEST_WIRE,
      pool,
      placer,
      retryBudget,
      answerMemory: new AnswerMemory(),
      entries: () => this.entryCount,
      clock,
      random,
      logger,
      ...parts,
    }
  }

  private endpoints(): RegisteredEndpoint[] {
    return this.listeners.map(({ address }, index) => endpointWithDefaults({ address, slots: SLOTS }, index))
  }

  private onRequest(index: number, request: SeenRequest): void {
    const entry = Number(request.headers['x-id']!.split('-')[0])
    this.held += 1
    this.maxHeld = Math.max(this.maxHeld, this.held)
    const { answer, inMs } = this.work(index, request, entry)
    this.clock.after(inMs, () => {
      this.held -= 1
      request.socket.end(answer())
    })
  }

  private call(entry: number): void {
    const { clock } = this
    const sentAt = clock.now()
    const parts = this.entries[entry]!
    const response = new FakeResponse()
    parts.retryBudget.recordRequest('plain')
    this.count += 1
    this.running += 1
    void relayPlain(parts, this.toJob(`${entry}-${this.count}`, sentAt, response)).then(({ status }) => {
      this.running -= 1
      const { retryAfter } = response
      this.outcomes.push({ sentAt, status, tookMs: clock.now() - sentAt, retryAfter })
    })
  }

  private toJob(id: string, arrivedAt: number, response: FakeResponse): RelayJob {
    const request = {
      id,
      method: 'GET',
      path: '/p/',
      host: 'h.example',
      headers: {},
      rawHeaders: ['x-id', id],
      body: new HeldBody([]),
      content: () => 'c' as never,
      parts: () => [],
      arrivedAt,
      deadlineMs: DEADLINE_MS,
      response: response as unknown as ServerResponse,
      isDisconnected: () => false,
      onDisconnect: () => undefined,
    }
    const service = { name: 'plain', maxConnections: this.maxConnections }
    const endsAt = arrivedAt + ROUTE.timeoutMs
    const targetAt = arrivedAt + ROUTE.targetMs
    const rest = { isReturn: false, rank: 1, regions: () => undefined }
    return { request, route: ROUTE, service, endsAt, targetAt, ...rest }
  }

  /** Waits until all sent requests have reached their endpoints and the sockets are idle. */
  private async settle(): Promise<void> {
    for (let quiet = 0; quiet < QUIET_TURNS; quiet += 1) {
      await new Promise<void>((resolve) => setImmediate(resolve))
      if (this.inFlight() !== this.held) quiet = -1
    }
  }

  private inFlight(): number {
    const pooled = this.entries.flatMap(({ pool }) =>
      this.listeners.map((_, index) => pool.get(`i-${index}`)?.inFlight ?? 0),
    )
    return pooled.reduce((sum, one) => sum + one, 0)
  }
}

/** Stands in for the response to a caller. */
class FakeResponse extends EventEmitter {
  headersSent = false
  destroyed = false
  statusCode = 0
  shouldKeepAlive = true
  useChunkedEncodingByDefault = true
  retryAfter: number | undefined

  setHeader(name: string, value: string | number): void {
    if (name === 'Retry-After') this.retryAfter = Number(value)
  }

  writeHead(): void {
    this.headersSent = true
  }

  end(): void {
    this.headersSent = true
  }
}
