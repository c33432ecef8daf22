import { describe, expect, it } from 'vitest'
import { Allocator, type PlaceAsk, type PlaceDecision } from '@forkstage/allocator'
import { createSeededRandom, every, ManualClock } from '@forkstage/clock'
import { Directory, type RegisteredEndpoint, type Stage } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { ColdEndpointLimiter, EndpointPool, LocalPlacer } from '../src'

const ENTRIES = 81
const COLD_MS = 3_000
/** Requests per second that a cold engine can take, with its factor and slack: 10 x 1.5 + 5. */
const BOUND = 20
const READING_MS = 60
const STEP_MS = 2
const DECODING_MS = 300
const ENGINE = {
  slots: 16,
  kvTokens: 72_923,
  kvBytesPerToken: 1,
  linkMbps: 1,
  tokensPerEvent: 1,
  handleMs: 500,
  stageChangeMs: 6_000,
  canMove: false,
}

interface Entry {
  limiter: ColdEndpointLimiter
  placer: LocalPlacer
  isAlone: boolean
}

function engine(id: string, stage: Stage, coldMs: number): RegisteredEndpoint {
  const base = { service: 's', address: `${id}:1`, zone: id[0]!, slots: 16, models: [], sequence: 1 }
  return { id, stage, state: 'ready', coldMs, ...base }
}

/** A failure domain of 5 prefill and 10 decode engines. */
function domain(name: string, coldMs: number): RegisteredEndpoint[] {
  const readers = Array.from({ length: 5 }, (_, index) => engine(`${name}p${index}`, 'prefill', coldMs))
  const decoders = Array.from({ length: 10 }, (_, index) => engine(`${name}d${index}`, 'decode', coldMs))
  return [...readers, ...decoders]
}

/**
 * Simulates entries, a leader and engines on one clock. Messages between them take some milliseconds, a few of them
 * much longer.
 */
class ColdFleet {
  readonly clock = new ManualClock(1)
  readonly arrivals = new Map<string, number[]>()
  readonly results: string[] = []
  /** Instances that have ended unannounced: another process listens at their address. */
  readonly ended = new Set<string>()
  private readonly random = createSeededRandom(8)
  private readonly directory = new Directory(() => this.clock.now())
  private leader: Allocator | undefined
  private count = 0
  readonly entries: Entry[]

  constructor(private readonly isBounded = true) {
    this.elect()
    every(this.clock, 25, () => this.leader?.tick(this.clock.now()))
    this.entries = Array.from({ length: ENTRIES }, () => this.startEntry())
  }

  register(endpoints: RegisteredEndpoint[]): void {
    this.directory.merge(endpoints)
    for (const { pool } of this.pools) pool.update(endpoints)
  }

  leave(id: string): void {
    this.directory.markLeft(id)
    for (const { pool } of this.pools) pool.update([{ ...engine(id, 'decode', 0), state: 'left' }])
  }

  /** Elects a new leader, which knows nothing of the sends that the previous one granted. */
  elect(): void {
    this.leader = new Allocator({
      endpoints: () => this.directory.list(),
      engine: () => ENGINE,
      cold: this.isBounded ? { leftMs: (id, at) => this.leftMs(id, at), perSecond: () => BOUND } : undefined,
    })
  }

  /** Generates requests at a rate for a time, at random entries. */
  async burst(perSecond: number, forMs: number): Promise<void> {
    const cancel = every(this.clock, 1_000 / perSecond, () => this.request())
    // Entries that place by themselves return promises, which settle between steps.
    for (let passed = 0; passed < forMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS)
      await Promise.resolve()
    }
    cancel()
  }

  /** Returns the largest number of requests within any second at an engine, over all engines of a failure domain. */
  worst(domainName: string): number {
    const each = [...this.arrivals].filter(([id]) => id.startsWith(domainName)).map(([, times]) => times)
    return Math.max(0, ...each.map(mostInSecond))
  }

  total(domainName: string): number {
    const each = [...this.arrivals]
      .filter(([id]) => id.startsWith(domainName))
      .map(([, times]) => times.length)
    return each.reduce((sum, one) => sum + one, 0)
  }

  shareOf(result: string): number {
    return this.results.filter((one) => one.startsWith(result)).length / this.results.length
  }

  private readonly pools: { pool: EndpointPool }[] = []

  private startEntry(): Entry {
    const { clock, random } = this
    const limiter = new ColdEndpointLimiter({
      clock,
      random,
      leftMs: (id) => (this.isBounded ? this.leftMs(id, clock.now()) : 0),
      hasReportedCold: (id) => this.directory.hasReportedCold(id),
      perSecond: () => BOUND,
      entries: () => ENTRIES,
    })
    const pool = new EndpointPool({
      zone: 'a',
      clock,
      random,
      logger: createSilentLogger(),
      isCold: (id) => limiter.isCold(id),
    })
    pool.update(this.directory.list())
    this.pools.push({ pool })
    const placer = new LocalPlacer({
      pool,
      kvTokens: () => ENGINE.kvTokens,
      entries: () => ENTRIES,
      cold: limiter,
    })
    return { limiter, placer, isAlone: false }
  }

  private leftMs(id: string, at: number): number {
    return Math.max(0, this.directory.coldUntil(id, COLD_MS) - at)
  }

  /** Returns the delay of a message between two machines: short, and now and then long. */
  private networkDelay(): number {
    return this.random() < 0.02 ? 150 + this.random() * 200 : 1 + this.random() * 4
  }

  private request(): void {
    this.count += 1
    const request = `r${this.count}`
    const entry = this.entries[Math.floor(this.random() * ENTRIES)]!
    const ask = newAsk(request)
    if (entry.isAlone) return void this.placeWithoutLeader(entry, ask)
    const askedAt = this.clock.now()
    const leader = this.leader!
    this.clock.after(this.networkDelay(), () =>
      leader.ask(ask, this.clock.now(), (decision) =>
        this.clock.after(this.networkDelay(), () => this.run(entry, ask, decision, leader, askedAt)),
      ),
    )
  }

  private async placeWithoutLeader(entry: Entry, ask: PlaceAsk): Promise<void> {
    const answer = await entry.placer.place({ ...ask, except: new Set() })
    if (answer.type === 'refused') return void this.results.push(`refused: ${answer.reason}`)
    const { decode, prefill } = answer.place
    const engines = { prefill: prefill?.endpoint.id, decode: decode.endpoint.id }
    this.steps(entry, ask.request, engines, () => answer.place.release('cancelled', 0, 0))
  }

  private run(
    entry: Entry,
    ask: PlaceAsk,
    decision: PlaceDecision,
    leader: Allocator,
    askedAt: number,
  ): void {
    if (decision.type === 'refused') return void this.results.push(`refused: ${decision.reason}`)
    const { request } = ask
    entry.limiter.addGrants(request, decision, askedAt)
    const onRead = () => leader.recordPrefilled(request, 'ok', READING_MS, this.clock.now())
    const onEnd = (made: number) => leader.release(request, 'ok', made, this.clock.now())
    if (this.ended.has(decision.decode)) {
      this.results.push('other instance')
      return leader.release(request, 'other-instance', 0, this.clock.now())
    }
    this.steps(entry, request, decision, onEnd, onRead)
  }

  private steps(
    entry: Entry,
    request: string,
    { prefill, decode }: { prefill?: string; decode: string },
    onEnd: (made: number) => void,
    onRead: () => void = () => undefined,
  ): void {
    if (prefill !== undefined && !this.send(entry, request, prefill, 'prefill')) return onEnd(0)
    this.clock.after(prefill === undefined ? 0 : READING_MS + this.random() * 100, () => {
      onRead()
      if (!this.send(entry, request, decode, 'decode')) return onEnd(0)
      this.clock.after(DECODING_MS, () => {
        this.results.push('served')
        onEnd(70)
      })
    })
  }

  private send(entry: Entry, request: string, to: string, step: Stage): boolean {
    if (entry.limiter.checkAndCount(this.directory.get(to)!, request, step) !== undefined) {
      this.results.push('withheld')
      return false
    }
    this.arrivals.set(to, [...(this.arrivals.get(to) ?? []), this.clock.now()])
    return true
  }
}

function newAsk(request: string): PlaceAsk {
  const times = { targetMs: 900, promptMs: 150, holdMs: 600, leftMs: 10_000 }
  const tokens = { promptTokens: 1_000, mostTokens: 100, hintTokens: 70 }
  const rest = { priority: 1, isReturn: false, except: [], isPrefilled: false }
  return { request, entry: 'e', service: 's', className: 'c', ...tokens, ...times, ...rest }
}

function mostInSecond(times: number[]): number {
  return Math.max(...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length))
}

/** Returns a fleet that has served for a while from two warm failure domains. */
async function settled(isBounded = true): Promise<ColdFleet> {
  const fleet = new ColdFleet(isBounded)
  fleet.register([...domain('a', 0), ...domain('b', 0)])
  await fleet.burst(100, 12_000)
  return fleet
}

describe('a failure domain that returns cold during a burst, with 81 entries', () => {
  it('gets no more than its limit in any second, while warm failure domains serve the callers', async () => {
    const fleet = await settled()
    fleet.register(domain('c', COLD_MS))
    await fleet.burst(400, COLD_MS)
    expect(fleet.worst('c')).toBeLessThanOrEqual(BOUND)
    expect(fleet.total('c')).toBeGreaterThan(0)
    expect(fleet.shareOf('served')).toBeGreaterThan(0.9)
  })

  it('would exceed its limit without a cold limiter, by least load', async () => {
    const fleet = await settled(false)
    fleet.register(domain('c', COLD_MS))
    await fleet.burst(400, COLD_MS)
    expect(fleet.worst('c')).toBeGreaterThan(BOUND)
  })

  it('stays within its limit when the leader changes while placements are pending', async () => {
    const fleet = await settled()
    for (let id = 0; id < 9; id += 1) fleet.leave(`ad${id}`)
    for (let id = 0; id < 9; id += 1) fleet.leave(`bd${id}`)
    fleet.register(domain('c', COLD_MS * 2))
    await fleet.burst(400, 1_000)
    fleet.elect()
    await fleet.burst(400, 500)
    fleet.elect()
    await fleet.burst(400, 2_000)
    expect(fleet.worst('cd')).toBeLessThanOrEqual(BOUND)
    expect(fleet.worst('cd')).toBeGreaterThan(BOUND / 2)
  })

  it('stays within its limit while some or all entries are cut off and place by themselves', async () => {
    const fleet = await settled()
    fleet.register(domain('c', COLD_MS * 2))
    fleet.entries.forEach((entry, index) => (entry.isAlone = index % 3 === 0))
    await fleet.burst(400, 2_000)
    fleet.entries.forEach((entry) => (entry.isAlone = true))
    await fleet.burst(400, 2_000)
    expect(fleet.worst('c')).toBeLessThanOrEqual(BOUND)
    expect(fleet.shareOf('served')).toBeGreaterThan(0.8)
  })

  it('stays within its limit where only cold engines are left and half of the entries place by themselves', async () => {
    const fleet = new ColdFleet()
    fleet.register(domain('a', 0))
    await fleet.burst(50, 12_000)
    for (let id = 0; id < 10; id += 1) fleet.leave(`ad${id}`)
    fleet.register(domain('c', COLD_MS * 2))
    fleet.entries.forEach((entry, index) => (entry.isAlone = index % 2 === 0))
    await fleet.burst(800, 4_000)
    expect(fleet.worst('c')).toBeLessThanOrEqual(BOUND)
    expect(fleet.total('cd')).toBeGreaterThan(100)
  })

  it('treats an engine that restarted unnoticed as cold under its new id, although it did not report that', async () => {
    const fleet = new ColdFleet()
    fleet.register([...domain('a', 0).slice(0, 5), engine('cd0', 'decode', 0)])
    await fleet.burst(20, 11_000)
    fleet.ended.add('cd0')
    await fleet.burst(100, 500)
    expect(fleet.results.filter((one) => one === 'other instance').length).toBeGreaterThan(0)
    fleet.register([{ ...engine('cd1', 'decode', 0), address: 'cd0:1', coldMs: undefined }])
    await fleet.burst(400, COLD_MS)
    expect(fleet.total('cd1')).toBeGreaterThan(BOUND / 2)
    expect(fleet.worst('cd1')).toBeLessThanOrEqual(BOUND)
  })

  it('stays within its limit when the last warm engine is lost, and other requests are refused early as not run', async () => {
    const fleet = new ColdFleet()
    fleet.register([...domain('a', 0), ...domain('c', COLD_MS * 2)])
    for (let id = 0; id < 10; id += 1) fleet.leave(`ad${id}`)
    await fleet.burst(400, 4_000)
    expect(fleet.worst('c')).toBeLessThanOrEqual(BOUND)
    expect(fleet.total('cd')).toBeGreaterThan(100)
    expect(fleet.shareOf('refused: cold engines get no more now')).toBeGreaterThan(0.3)
  })

  it('gets full load once its cold time is over, although it sends no further report', async () => {
    const fleet = new ColdFleet()
    fleet.register(domain('c', COLD_MS))
    await fleet.burst(10, COLD_MS)
    const before = fleet.total('c')
    await fleet.burst(400, 1_000)
    expect(fleet.total('c') - before).toBeGreaterThan(500)
  })
})
