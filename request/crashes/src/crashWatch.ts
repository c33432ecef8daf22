import type { Clock } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Address, Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import type { EndedUnder, Incarnation } from './crashTypes'

/** What a bare connection to an address shows. */
export type Listening = 'listens' | 'refused' | 'silent'

/** A sending that ended without a whole answer. */
export interface LostSending {
  request: string
  content: ContentDigest
  endpoint: RegisteredEndpoint
  /** Whether its connection broke; otherwise it was given up here, after a time without a sign. */
  isBroken: boolean
  /** How long it had been there. */
  afterMs: Millis
}

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions {
  clock: Clock
  logger: Logger
  /** Tries whether a process listens at an address. Never rejects. */
  tryAddress: (address: Address) => Promise<Listening>
  /** What is known of an instance now; absent where it has left. */
  current: (id: InstanceId) => RegisteredEndpoint | undefined
  /** Whether a later life has its name, or another process has registered at its address. */
  isReplaced: (endpoint: RegisteredEndpoint) => boolean
  /** Called once for each instance that has ended, with what it had at work. */
  onCrash: (life: Incarnation, under: EndedUnder[], service: string) => void
}

interface Suspected {
  endpoint: RegisteredEndpoint
  /** What was lost there, with the requests' ids: the last so many. */
  lost: Map<string, EndedUnder>
  lastAt: Millis
  triesLeft: number
  isTrying: boolean
  /** Called once a try after the last loss has shown whether anybody listens; absent when that is known. */
  onTried?: (() => void)[]
}

/** Long enough for a dying process to have closed its listener. */
const TRY_AFTER_MS: Millis = 50
/** A second look, for one that took its time. */
const TRY_AGAIN_MS: Millis = 400
const TRIES = 2
/** A process that crashes is back within seconds; what registers later says nothing of an answer lost long ago. */
const LAPSES_AFTER_MS: Millis = 15_000
const CHECK_EVERY_MS: Millis = 1_000
/**
 * A request that ends its endpoint when it begins to run has been there for no longer, with what waits before it: 24 ends
 * seen came within 16 to 605 ms.
 */
const EARLY_MS: Millis = 1_000
/** An engine runs some tens of requests at once; one line and one report hold them all. */
const MOST_LOST = 128

/**
 * Tells an endpoint that has ended from one that only lost an answer: after a loss nobody listens at its address any
 * more, or another process registers there. One that had said that it leaves has not crashed.
 */
export class CrashWatch {
  private readonly suspected = new Map<InstanceId, Suspected>()
  private isChecking = false

  constructor(private readonly options: CrashWatchOptions) {}

  /** Notes that an endpoint was left without a whole answer. */
  noteLost({ request, content, endpoint, isBroken, afterMs }: LostSending): void {
    if (endpoint.state !== 'ready' || !this.isAtWork(endpoint.id)) return
    const one = this.suspected.get(endpoint.id) ?? {
      endpoint,
      lost: new Map<string, EndedUnder>(),
      lastAt: 0,
      triesLeft: 0,
      isTrying: false,
    }
    this.suspected.set(endpoint.id, one)
    const isEarly = isBroken && afterMs <= EARLY_MS
    if (one.lost.size < MOST_LOST) one.lost.set(request, { content, isEarly })
    one.lastAt = this.options.clock.now()
    if (isBroken) {
      one.onTried ??= []
      this.tryLater(one)
    }
    this.checkLater()
  }

  /** Whether it is not known yet if an endpoint that was lost has ended. */
  isUnconfirmed(id: InstanceId): boolean {
    return this.suspected.get(id)?.onTried !== undefined
  }

  /** Resolves once {@link isUnconfirmed} is false. */
  confirmed(id: InstanceId): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.suspected.get(id)?.onTried
      if (waiting === undefined) resolve()
      else waiting.push(resolve)
    })
  }

  /** Looks whether others have taken the place of endpoints where something was lost. Called when endpoints register. */
  checkSuspected(): void {
    const now = this.options.clock.now()
    for (const [id, one] of this.suspected) {
      if (now - one.lastAt > LAPSES_AFTER_MS || !this.isAtWork(id)) this.forget(one)
      else if (this.options.isReplaced(one.endpoint)) this.end(one, 'replaced')
    }
  }

  private isAtWork(id: InstanceId): boolean {
    const state = this.options.current(id)?.state
    return state === 'ready' || state === 'ended'
  }

  private tryLater(one: Suspected): void {
    one.triesLeft = TRIES
    if (one.isTrying) return
    one.isTrying = true
    this.options.clock.after(TRY_AFTER_MS, () => void this.tryNow(one))
  }

  private async tryNow(one: Suspected): Promise<void> {
    if (this.suspected.get(one.endpoint.id) === one && this.options.isReplaced(one.endpoint))
      this.end(one, 'replaced')
    if (this.suspected.get(one.endpoint.id) !== one) return
    one.triesLeft -= 1
    const found = await this.options.tryAddress(one.endpoint.address)
    const isOpen = this.suspected.get(one.endpoint.id) === one
    if (found === 'refused' && isOpen && this.isAtWork(one.endpoint.id)) return this.end(one, 'refuses')
    settle(one)
    one.isTrying = isOpen && one.triesLeft > 0
    if (one.isTrying) this.options.clock.after(TRY_AGAIN_MS, () => void this.tryNow(one))
  }

  private end(one: Suspected, evidence: 'refuses' | 'replaced'): void {
    const { id, service } = one.endpoint
    this.forget(one)
    const under = [...one.lost.values()]
    this.options.logger.warn('endpoint.ended', {
      endpoint: id,
      service,
      evidence,
      ageMs: Math.round(this.options.clock.now() - one.lastAt),
      requests: [...one.lost.keys()],
      contents: [...new Set(under.map(({ content }) => content))],
    })
    this.options.onCrash(id, under, service)
  }

  private forget(one: Suspected): void {
    this.suspected.delete(one.endpoint.id)
    settle(one)
  }

  /** What is never found out lapses also where nothing registers. */
  private checkLater(): void {
    if (this.isChecking) return
    this.isChecking = true
    this.options.clock.after(CHECK_EVERY_MS, () => {
      this.isChecking = false
      this.checkSuspected()
      if (this.suspected.size > 0) this.checkLater()
    })
  }
}

/** Those who wait go on in a later turn: an end is in the book by then. */
function settle(one: Suspected): void {
  const waiting = one.onTried ?? []
  one.onTried = undefined
  waiting.forEach((resolve) => resolve())
}
