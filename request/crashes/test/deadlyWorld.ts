import { createSeededRandom, every, ManualClock } from '@forkstage/clock'
import {
  CrashBook,
  decideSending,
  TrialBook,
  type CrashRecord,
  type SendingDecision,
  type TrialAnswer,
} from '../src'
import type { Deadly, DeadlyOptions, Endpoint, Outcome, RelayedRequest, Running } from './deadlyParts'

export type { DeadlyOptions } from './deadlyParts'

const ENDS = 3
const KEEP_MS = 3_600_000
const WORK_MS = 60
/** How long an endpoint is down after its end. */
const DOWN_MS = 1_500
/** From the beginning of a deadly request to the end of its endpoint. */
const DIES_AFTER_MS = [20, 120] as const
/** From the end of an endpoint to an entry's proof of it. */
const PROVED_AFTER_MS = 60
/** From an entry to the leader, and from there to the entries. */
const WAY_MS = [2, 12] as const
/** How long an entry waits for a standing endpoint. */
const WAIT_MS = 150
/** How often what waits looks again. */
const LOOK_MS = 10
const COME_BACK_MS = 400
const ATTEMPTS = 2
/** The longest that an entry waits for an endpoint to be kept free. */
const MOST_ALONE_WAIT_MS = 1_000
/** A deadly content that reaches an endpoint so long after its third end is a broken promise. */
const LATE_MS = 1_000

/** Entries, a leader and plain endpoints on one clock; some contents end each endpoint that begins to run them. */
export class DeadlyWorld {
  readonly clock = new ManualClock()
  readonly deadly = new Map<string, Deadly>()
  readonly refusedInnocents = new Set<string>()
  served = 0
  innocents = 0
  /** How often innocent callers were refused. */
  refusedTimes = 0
  private readonly random
  private readonly endpoints: Endpoint[]
  private readonly books: CrashBook[]
  private leader: CrashBook
  private trials: TrialBook
  /** Endpoints that each entry knows to be kept free. */
  private readonly keptFree: Set<string>[]
  private count = 0
  private requests = 0

  constructor(private readonly options: DeadlyOptions) {
    const { seed, kinds, endpoints = 6, entries = 4 } = options
    this.random = createSeededRandom(seed)
    this.endpoints = Array.from({ length: endpoints }, (_, index) => ({
      name: `p${index}`,
      life: 0,
      isUp: true,
      running: new Set(),
    }))
    this.books = Array.from({ length: entries }, () => this.newBook())
    this.leader = this.newBook()
    this.trials = this.newTrials()
    this.keptFree = this.books.map(() => new Set())
    every(this.clock, 100, () => this.trials.sweepExpired())
    for (let kind = 0; kind < kinds; kind += 1)
      this.deadly.set(`deadly${kind}`, { endedAt: [], arrivedAt: [] })
  }

  run(forMs: number): void {
    const { deadlyPerSecond = 5, innocentPerSecond = 25, leaderLostEveryMs = Infinity } = this.options
    const names = [...this.deadly.keys()]
    const often = (perSecond: number, what: () => void, fromMs = 1) => {
      const next = () => {
        if (this.clock.now() >= forMs) return
        what()
        this.clock.after((-Math.log(1 - this.random()) * 1_000) / perSecond, next)
      }
      this.clock.after(fromMs, next)
    }
    const { deadlyFromMs } = this.options
    often(deadlyPerSecond, () => this.call(names[Math.floor(this.random() * names.length)]!), deadlyFromMs)
    const { popular = Infinity } = this.options
    often(innocentPerSecond, () => this.call(`innocent${(this.count += 1) % popular}`))
    if (leaderLostEveryMs < Infinity) often(1_000 / leaderLostEveryMs, () => this.loseLeader())
    this.clock.advance(forMs + 10_000)
  }

  /** The most ends that a deadly content had. */
  get mostEnds(): number {
    return Math.max(...[...this.deadly.values()].map(({ endedAt }) => endedAt.length))
  }

  /** Deadly requests that reached an endpoint later than a second after their content's third end. */
  get late(): number {
    const each = [...this.deadly.values()].map(({ endedAt, arrivedAt }) => {
      const third = endedAt[ENDS - 1]
      return third === undefined ? 0 : arrivedAt.filter((at) => at > third + LATE_MS).length
    })
    return each.reduce((sum, one) => sum + one, 0)
  }

  private newBook(): CrashBook {
    return new CrashBook({ now: () => this.clock.now(), ends: ENDS, keepMs: KEEP_MS })
  }

  private between([from, to]: readonly [number, number]): number {
    return from + this.random() * (to - from)
  }

  private call(content: string): void {
    const isInnocent = !this.deadly.has(content)
    if (isInnocent) this.innocents += 1
    const isImpatient = this.random() < (this.options.impatientShare ?? 0)
    const attempt = (triesOfCaller: number): void => {
      const entry = Math.floor(this.random() * this.books.length)
      const done = (outcome: Outcome) => {
        if (outcome === 'served') {
          if (isInnocent) this.served += 1
          return
        }
        if (outcome === 'refused' && isInnocent) this.refusedInnocents.add(content)
        if (outcome === 'refused' && isInnocent) this.refusedTimes += 1
        if (triesOfCaller > 1)
          this.clock.after(isImpatient ? 1 : COME_BACK_MS, () => attempt(triesOfCaller - 1))
      }
      this.relay(this.newRequest(entry, content, done))
    }
    attempt(isImpatient ? 4 : 2)
  }

  private newRequest(entry: number, content: string, done: (outcome: Outcome) => void): RelayedRequest {
    this.requests += 1
    const request: RelayedRequest = {
      id: `r${this.requests}`,
      entry,
      content,
      tried: new Set(),
      attempts: ATTEMPTS,
      waitedMs: 0,
      lost: [],
      hasTurn: false,
      done: (outcome) => {
        this.endTurn(request)
        done(outcome)
      },
    }
    return request
  }

  private relay(request: RelayedRequest): void {
    const { content, tried } = request
    const decision = this.decide(request)
    if (decision === 'refuse') return request.done('refused')
    if (decision === 'await-confirmation') return this.relayLater(request, LOOK_MS)
    if (decision === 'isolate') return this.runAlone(request)
    if (decision === 'serialize' && !request.hasTurn) return this.awaitTurn(request)
    const up = this.endpoints.filter((one) => one.isUp && !this.keptFree[request.entry]!.has(lifeOf(one)))
    const fresh = up.filter(({ name }) => !tried.has(name))
    const among = fresh.length > 0 ? fresh : up
    if (among.length === 0) {
      if (request.waitedMs >= WAIT_MS) return request.done('no room')
      return this.relayLater(request, LOOK_MS)
    }
    const to = among[Math.floor(this.random() * among.length)]!
    tried.add(to.name)
    const life = lifeOf(to)
    const lost = () => {
      request.lost.push(life)
      request.hasTurn = false
      request.attempts -= 1
      request.waitedMs = 0
      if (request.attempts > 0) this.relay(request)
      else request.done('lost')
    }
    this.work(to, { content, entry: request.entry, lost }, () => request.done('served'))
  }

  private decide({ entry, content, lost }: RelayedRequest): SendingDecision['type'] {
    const book = this.books[entry]!
    const unconfirmed = lost.filter((life) => !book.hasCrashed(life)).length
    return decideSending({ book, content, service: 's', hasTrials: () => true, unconfirmed }).type
  }

  private relayLater(request: RelayedRequest, ms: number): void {
    request.waitedMs += ms
    this.clock.after(ms, () => this.relay(request))
  }

  private work(to: Endpoint, running: Running, served: () => void): void {
    const { content, entry } = running
    to.running.add(running)
    const deadly = this.deadly.get(content)
    deadly?.arrivedAt.push(this.clock.now())
    const { life } = to
    const isThere = () => to.isUp && to.life === life && to.running.has(running)
    if (deadly !== undefined)
      return void this.clock.after(this.between(DIES_AFTER_MS), () => {
        if (isThere()) this.end(to)
      })
    this.clock.after(WORK_MS, () => {
      if (!isThere()) return
      to.running.delete(running)
      served()
      this.tell(entry, this.books[entry]!.noteServed(content))
    })
  }

  private end(endpoint: Endpoint): void {
    const life = lifeOf(endpoint)
    const lost = [...endpoint.running]
    endpoint.running.clear()
    endpoint.isUp = false
    for (const content of new Set(lost.map((one) => one.content)))
      this.deadly.get(content)?.endedAt.push(this.clock.now())
    this.clock.after(DOWN_MS, () => {
      endpoint.life += 1
      endpoint.isUp = true
    })
    this.clock.after(PROVED_AFTER_MS, () => {
      for (const entry of new Set(lost.map((one) => one.entry))) {
        const under = lost
          .filter((one) => one.entry === entry)
          .map(({ content }) => ({ content, isEarly: true }))
        this.tell(entry, this.books[entry]!.recordCrash(life, under))
      }
    })
    lost.forEach((one) => one.lost())
  }

  private tell(entry: number, records: CrashRecord[]): void {
    if (records.length === 0) return
    const { leader } = this
    this.clock.after(this.between(WAY_MS), () => {
      // Told again to the next leader.
      if (leader !== this.leader) return this.tell(entry, records)
      leader.merge(records)
      for (const book of this.books) this.clock.after(this.between(WAY_MS), () => void book.merge(records))
    })
  }

  /** Asks the leader where it may run alone, and waits a while for that, as entries do. */
  private runAlone(request: RelayedRequest): void {
    this.ask(request, undefined, (answer, trials) => {
      if (answer.type === 'granted') return this.runAt(request, answer.endpoint, trials)
      if (answer.type !== 'later') throw new Error('the world has enough endpoints')
      if (request.waitedMs + answer.retryAfterMs > MOST_ALONE_WAIT_MS) return request.done('no room')
      this.relayLater(request, answer.retryAfterMs)
    })
  }

  /** Waits for the turn of its content, and then runs all the same. */
  private awaitTurn(request: RelayedRequest, waitedMs = 0): void {
    this.ask(request, request.id, (answer, trials) => {
      request.turn = trials
      request.hasTurn = true
      if (answer.type === 'isolate') return this.runAlone(request)
      if (answer.type !== 'later' || waitedMs + answer.retryAfterMs > MOST_ALONE_WAIT_MS)
        return this.relay(request)
      this.clock.after(answer.retryAfterMs, () => {
        if (this.decide(request) === 'serialize')
          return this.awaitTurn(request, waitedMs + answer.retryAfterMs)
        this.relay(request)
      })
    })
  }

  private ask(
    { entry, content }: RelayedRequest,
    turnOf: string | undefined,
    then: (answer: TrialAnswer, trials: TrialBook) => void,
  ): void {
    const { trials, leader } = this
    const records = this.books[entry]!.recordsOf([content])
    this.clock.after(this.between(WAY_MS), () => {
      leader.merge(records)
      const answer = trials.ask({ service: 's', content, turnOf })
      this.clock.after(this.between(WAY_MS), () => then(answer, trials))
    })
  }

  private runAt(request: RelayedRequest, endpoint: string, trials: TrialBook): void {
    const { entry, content } = request
    const to = this.endpoints.find((one) => one.isUp && lifeOf(one) === endpoint)
    const end = () =>
      this.clock.after(this.between(WAY_MS), () => trials.end({ service: 's', content, endpoint }))
    if (to === undefined || trials !== this.trials) {
      end()
      return request.done('no room')
    }
    const lost = () => {
      this.clock.after(PROVED_AFTER_MS, end)
      request.lost.push(endpoint)
      request.done('lost')
    }
    this.work(to, { content, entry, lost }, () => {
      end()
      request.done('served')
    })
  }

  /** The next turn knows of what was lost in this one. */
  private endTurn({ entry, id, content, turn, lost }: RelayedRequest): void {
    if (turn === undefined) return
    const book = this.books[entry]!
    const confirmedIn = lost.every((life) => book.hasCrashed(life)) ? 0 : PROVED_AFTER_MS
    this.clock.after(confirmedIn, () => {
      const records = book.recordsOf([content])
      this.clock.after(this.between(WAY_MS), () => {
        if (turn === this.trials) this.leader.merge(records)
        turn.end({ service: 's', content, turnOf: id })
      })
    })
  }

  private newTrials(): TrialBook {
    const trials: TrialBook = new TrialBook({
      now: () => this.clock.now(),
      random: this.random,
      registered: () => this.endpoints.map(lifeOf),
      hasCrashed: (life) => this.leader.hasCrashed(life),
      isSuspect: (content) => this.leader.isSuspect(content),
      onChange: () => this.passOnKeptFree(trials),
    })
    return trials
  }

  private passOnKeptFree(trials: TrialBook): void {
    // Watch answers tell what is so when they are made, each after the one before it.
    this.books.forEach((_, entry) =>
      this.clock.after(this.between(WAY_MS), () => {
        if (trials === this.trials) this.keptFree[entry] = new Set(trials.endpoints)
      }),
    )
  }

  private loseLeader(): void {
    this.leader = this.newBook()
    this.trials = this.newTrials()
    this.passOnKeptFree(this.trials)
  }
}

function lifeOf({ name, life }: Endpoint): string {
  return `${name}~${life}`
}
