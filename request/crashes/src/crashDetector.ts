import type { Clock } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Address, Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import type { ContentAtCrash, Incarnation } from './crashTypes'

/** What a bare connection to an address shows. */
export type ProbeResult = 'listens' | 'refused' | 'silent'

/** A sending that ended without a whole answer. */
export interface LostAttempt {
  request: string
  content: ContentDigest
  endpoint: RegisteredEndpoint
  /** Whether its connection broke; otherwise it was given up here, after a time without a sign. */
  isBroken: boolean
  /** How long it had been there. */
  afterMs: Millis
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  clock: Clock
  logger: Logger
  /** Tries whether a process listens at an address. Never rejects. */
  probeAddress: (address: Address) => Promise<ProbeResult>
  /** What is known of an instance now; absent where it has left. */
  current: (id: InstanceId) => RegisteredEndpoint | undefined
  /** Whether a later life has its name, or another process has registered at its address. */
  isReplaced: (endpoint: RegisteredEndpoint) => boolean
  /** Called once for each instance that has ended, with what it had at work. */
  onCrash: (incarnation: Incarnation, contentsAtCrash: ContentAtCrash[], service: string) => void
}

interface SuspectedEndpoint {
  endpoint: RegisteredEndpoint
  /** What was lost there, with the requests' ids: the last so many. */
  lost: Map<string, ContentAtCrash>
  lastLossAt: Millis
  probesLeft: number
  isProbing: boolean
  /** Called once a try after the last loss has shown whether anybody listens; absent when that is known. */
  onProbed?: (() => void)[]
}

/** Long enough for a dying process to have closed its listener. */
const FIRST_PROBE_DELAY_MS: Millis = 50
/** A second look, for one that took its time. */
const NEXT_PROBE_DELAY_MS: Millis = 400
const PROBES_PER_LOSS = 2
/** A process that crashes is back within seconds; what registers later says nothing of an answer lost long ago. */
const LOSS_EXPIRY_MS: Millis = 15_000
const CHECK_EVERY_MS: Millis = 1_000
/**
 * A request that ends its endpoint when it begins to run has been there for no longer, with what waits before it: 24 ends
 * seen came within 16 to 605 ms.
 */
const EARLY_MS: Millis = 1_000
/** An engine runs some tens of requests at once; one line and one report hold them all. */
const MAX_LOST_REQUESTS = 128

/**
 * Tells an endpoint that has ended from one that only lost an answer: after a loss nobody listens at its address any
 * more, or another process registers there. One that had said that it leaves has not crashed.
 */
export class CrashDetector {
  private readonly suspects = new Map<InstanceId, SuspectedEndpoint>()
  private isChecking = false

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Notes that an endpoint was left without a whole answer. */
  recordLoss({ request, content, endpoint, isBroken, afterMs }: LostAttempt): void {
    if (endpoint.state !== 'ready' || !this.isReadyOrEnded(endpoint.id)) return
    const suspect = this.suspects.get(endpoint.id) ?? {
      endpoint,
      lost: new Map<string, ContentAtCrash>(),
      lastLossAt: 0,
      probesLeft: 0,
      isProbing: false,
    }
    this.suspects.set(endpoint.id, suspect)
    const isEarly = isBroken && afterMs <= EARLY_MS
    if (suspect.lost.size < MAX_LOST_REQUESTS) suspect.lost.set(request, { content, isEarly })
    suspect.lastLossAt = this.options.clock.now()
    if (isBroken) {
      suspect.onProbed ??= []
      this.scheduleProbe(suspect)
    }
    this.scheduleCheck()
  }

  /** Whether it is not known yet if an endpoint that was lost has ended. */
  isUnconfirmed(id: InstanceId): boolean {
    return this.suspects.get(id)?.onProbed !== undefined
  }

  /** Resolves once {@link isUnconfirmed} is false. */
  confirmed(id: InstanceId): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.suspects.get(id)?.onProbed
      if (waiting === undefined) resolve()
      else waiting.push(resolve)
    })
  }

  /** Looks whether others have taken the place of endpoints where something was lost. Called when endpoints register. */
  checkSuspected(): void {
    const now = this.options.clock.now()
    for (const [id, suspect] of this.suspects) {
      if (now - suspect.lastLossAt > LOSS_EXPIRY_MS || !this.isReadyOrEnded(id)) this.forget(suspect)
      else if (this.options.isReplaced(suspect.endpoint)) this.confirmCrash(suspect, 'replaced')
    }
  }

  private isReadyOrEnded(id: InstanceId): boolean {
    const state = this.options.current(id)?.state
    return state === 'ready' || state === 'ended'
  }

  private scheduleProbe(suspect: SuspectedEndpoint): void {
    suspect.probesLeft = PROBES_PER_LOSS
    if (suspect.isProbing) return
    suspect.isProbing = true
    this.options.clock.after(FIRST_PROBE_DELAY_MS, () => void this.probe(suspect))
  }

  private async probe(suspect: SuspectedEndpoint): Promise<void> {
    if (this.suspects.get(suspect.endpoint.id) === suspect && this.options.isReplaced(suspect.endpoint))
      this.confirmCrash(suspect, 'replaced')
    if (this.suspects.get(suspect.endpoint.id) !== suspect) return
    suspect.probesLeft -= 1
    const result = await this.options.probeAddress(suspect.endpoint.address)
    const isOpen = this.suspects.get(suspect.endpoint.id) === suspect
    if (result === 'refused' && isOpen && this.isReadyOrEnded(suspect.endpoint.id))
      return this.confirmCrash(suspect, 'refuses')
    resolveWaiters(suspect)
    suspect.isProbing = isOpen && suspect.probesLeft > 0
    if (suspect.isProbing) this.options.clock.after(NEXT_PROBE_DELAY_MS, () => void this.probe(suspect))
  }

  private confirmCrash(suspect: SuspectedEndpoint, evidence: 'refuses' | 'replaced'): void {
    const { id, service } = suspect.endpoint
    this.forget(suspect)
    const contentsAtCrash = [...suspect.lost.values()]
    this.options.logger.warn('endpoint.ended', {
      endpoint: id,
      service,
      evidence,
      ageMs: Math.round(this.options.clock.now() - suspect.lastLossAt),
      requests: [...suspect.lost.keys()],
      contents: [...new Set(contentsAtCrash.map(({ content }) => content))],
    })
    this.options.onCrash(id, contentsAtCrash, service)
  }

  private forget(suspect: SuspectedEndpoint): void {
    this.suspects.delete(suspect.endpoint.id)
    resolveWaiters(suspect)
  }

  /** What is never found out lapses also where nothing registers. */
  private scheduleCheck(): void {
    if (this.isChecking) return
    this.isChecking = true
    this.options.clock.after(CHECK_EVERY_MS, () => {
      this.isChecking = false
      this.checkSuspected()
      if (this.suspects.size > 0) this.scheduleCheck()
    })
  }
}

/** Those who wait go on in a later turn: an end is in the book by then. */
function resolveWaiters(suspect: SuspectedEndpoint): void {
  const waiting = suspect.onProbed ?? []
  suspect.onProbed = undefined
  waiting.forEach((resolve) => resolve())
}
