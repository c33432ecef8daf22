import { createSeededRandom, every, ManualClock } from '@forkstage/clock'
import { CrashBook, decideSending, TrialBook, type CrashRecord, type TrialAnswer } from '../src'

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

interface Running {
  content: string
  entry: number
  lost: () => void
}

interface Endpoint {
  name: string
  life: number
  isUp: boolean
  running: Set<Running>
}

/** What became of a deadly content. */
export interface Deadly {
  /** When endpoints ended under it. */
  endedAt: number[]
  /** When it reached endpoints. */
  arrivedAt: number[]
}

export interface DeadlyOptions {
  seed: number
  kinds: number
  endpoints?: number
  entries?: number
  /** Sendings of deadly contents a second, of all kinds together. */
  deadlyPerSecond?: number
  innocentPerSecond?: number
  /** How often the leader is lost, with what it had not passed on. */
  leaderLostEveryMs?: number
  /** When the first deadly contents are sent. */
  deadlyFromMs?: number
  /** How many contents the innocent callers share; each has its own where left out. */
  popular?: number
  /** The share of callers that come again at once, and twice as often. */
  impatientShare?: number
}

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
  private readonly suspects = new Set<string>()
  private count = 0

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
    every(this.clock, 100, () => this.trials.look())
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
      this.relay(entry, content, new Set(), ATTEMPTS, (outcome) => {
        if (outcome === 'served') {
          if (isInnocent) this.served += 1
          return
        }
        if (outcome === 'refused' && isInnocent) this.refusedInnocents.add(content)
        if (outcome === 'refused' && isInnocent) this.refusedTimes += 1
        if (triesOfCaller > 1)
          this.clock.after(isImpatient ? 1 : COME_BACK_MS, () => attempt(triesOfCaller - 1))
      })
    }
    attempt(isImpatient ? 4 : 2)
  }

  private relay(
    entry: number,
    content: string,
    tried: Set<string>,
    attempts: number,
    done: (outcome: 'served' | 'refused' | 'lost' | 'no room') => void,
    waitedMs = 0,
    lostLives: string[] = [],
  ): void {
    const book = this.books[entry]!
    const unconfirmed = lostLives.filter((life) => !book.hasEnded(life)).length
    const decision = decideSending({ book, content, hasTrials: true, unconfirmed })
    const later = (ms: number) =>
      void this.clock.after(ms, () =>
        this.relay(entry, content, tried, attempts, done, waitedMs + ms, lostLives),
      )
    if (decision.type === 'refuse') return done('refused')
    if (decision.type === 'await-confirmation') return later(LOOK_MS)
    if (decision.type === 'isolate') return this.runAlone(entry, content, tried, attempts, done, waitedMs)
    const up = this.endpoints.filter((one) => one.isUp && !this.keptFree[entry]!.has(lifeOf(one)))
    const fresh = up.filter(({ name }) => !tried.has(name))
    const among = fresh.length > 0 ? fresh : up
    if (among.length === 0) {
      if (waitedMs >= WAIT_MS) return done('no room')
      return later(LOOK_MS)
    }
    const to = among[Math.floor(this.random() * among.length)]!
    tried.add(to.name)
    const life = lifeOf(to)
    const lost = () => {
      if (attempts > 1) this.relay(entry, content, tried, attempts - 1, done, 0, [...lostLives, life])
      else done('lost')
    }
    this.work(to, { content, entry, lost }, () => done('served'))
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
        this.tell(entry, this.books[entry]!.noteEnded(life, under))
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
  private runAlone(
    entry: number,
    content: string,
    tried: Set<string>,
    attempts: number,
    done: (outcome: 'served' | 'refused' | 'lost' | 'no room') => void,
    waitedMs: number,
  ): void {
    if (!this.deadly.has(content)) this.suspects.add(content)
    const { trials } = this
    this.clock.after(this.between(WAY_MS), () => {
      const answer: TrialAnswer = trials.ask({ service: 's', content })
      this.clock.after(this.between(WAY_MS), () => {
        if (answer.type === 'anywhere') throw new Error('the world has enough endpoints')
        if (answer.type === 'later') {
          if (waitedMs + answer.retryAfterMs > MOST_ALONE_WAIT_MS) return done('no room')
          const again = () =>
            this.relay(entry, content, tried, attempts, done, waitedMs + answer.retryAfterMs)
          return void this.clock.after(answer.retryAfterMs, again)
        }
        const to = this.endpoints.find((one) => one.isUp && lifeOf(one) === answer.endpoint)
        const end = () =>
          this.clock.after(this.between(WAY_MS), () =>
            trials.end({ service: 's', content, endpoint: answer.endpoint }),
          )
        if (to === undefined || trials !== this.trials) {
          end()
          return done('no room')
        }
        const over = (outcome: 'served' | 'lost') => () => {
          end()
          done(outcome)
        }
        this.work(to, { content, entry, lost: over('lost') }, over('served'))
      })
    })
  }

  private newTrials(): TrialBook {
    const trials: TrialBook = new TrialBook({
      now: () => this.clock.now(),
      random: this.random,
      registered: () => this.endpoints.map(lifeOf),
      hasEnded: (life) => this.leader.hasEnded(life),
      onChange: () => this.passOnKeptFree(trials),
    })
    return trials
  }

  private passOnKeptFree(trials: TrialBook): void {
    const kept = trials === this.trials ? trials.endpoints : []
    this.books.forEach((_, entry) =>
      this.clock.after(this.between(WAY_MS), () => {
        if (trials === this.trials) this.keptFree[entry] = new Set(kept)
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
