import type { Clock } from '@forkstage/clock'
import type { InstanceId, RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import type { Address, Millis } from '@forkstage/types'
import type { ContentDigest } from './contentDigest'
import type { ContentAtCrash, Incarnation } from './crashTypes'
import type { PartDigest } from './partDigest'

/** The result of opening a bare TCP connection to an address. */
export type ProbeResult = 'listens' | 'refused' | 'silent'

/** A request that an endpoint did not answer completely. */
export interface LostAttempt {
  request: string
  content: ContentDigest
  /** The parts of its prompt that it may share with other requests; absent if it names none. */
  parts?: PartDigest[]
  endpoint: RegisteredEndpoint
  /** Whether the connection broke; false where this machine gave up after a timeout. */
  isBroken: boolean
  /** Whether the endpoint had begun to write its answer; absent where that is unknown. */
  hasBegun?: boolean
  /** Time from sending the request to the loss. */
  afterMs: Millis
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  clock: Clock
  logger: Logger
  /** Probes whether a process listens at an address. Never rejects. */
  probeAddress: (address: Address) => Promise<ProbeResult>
  /** The current directory entry of an instance; undefined once it has left. */
  current: (id: InstanceId) => RegisteredEndpoint | undefined
  /** Whether a later incarnation has the endpoint's name, or another process has registered at its address. */
  isReplaced: (endpoint: RegisteredEndpoint) => boolean
  /** Called once for each incarnation that has crashed, with the contents that were running there. */
  onCrash: (
    incarnation: Incarnation,
    contentsAtCrash: ContentAtCrash[],
    service: string,
    ageMs: Millis,
  ) => void
}

interface SuspectedEndpoint {
  endpoint: RegisteredEndpoint
  /** Contents of the requests lost there, by request id; at most {@link MAX_LOST_REQUESTS}. */
  lost: Map<string, ContentAtCrash>
  lastLossAt: Millis
  probesLeft: number
  isProbing: boolean
  /** Resolves callers of `confirmed` once a probe has finished; absent while no loss is unconfirmed. */
  onProbed?: (() => void)[]
}

/** Long enough for a dying process to have closed its listener. */
const FIRST_PROBE_DELAY_MS: Millis = 50
/** The second probe covers a process that took longer to close its listener. */
const NEXT_PROBE_DELAY_MS: Millis = 400
const PROBES_PER_LOSS = 2
/** A crashed process is back within seconds; a later registration says nothing about an old loss. */
const LOSS_EXPIRY_MS: Millis = 15_000
const CHECK_EVERY_MS: Millis = 1_000
/**
 * A request that crashes its endpoint as soon as it runs has been there no longer than this, time in its queue
 * included: 24 crashes came within 16 to 605 ms.
 */
const EARLY_MS: Millis = 1_000
/** An engine runs some tens of requests at once; one log line and one report hold them all. */
const MAX_LOST_REQUESTS = 128

/**
 * Tells a crashed endpoint from one that only lost a response. After a loss, the endpoint has crashed if its address
 * refuses connections or another process has registered there. An endpoint that had announced that it leaves has not
 * crashed.
 */
export class CrashDetector {
  private readonly suspects = new Map<InstanceId, SuspectedEndpoint>()
  private isChecking = false

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Records that an endpoint left a request without a complete response. */
  recordLoss({ request, content, parts, endpoint, isBroken, hasBegun, afterMs }: LostAttempt): void {
    if (endpoint.state !== 'ready' || !this.isReadyOrEnded(endpoint.id)) return
    const suspect: SuspectedEndpoint = this.suspects.get(endpoint.id) ?? {
      endpoint,
      lost: new Map(),
      lastLossAt: 0,
      probesLeft: 0,
      isProbing: false,
    }
    this.suspects.set(endpoint.id, suspect)
    const isEarly = isBroken && (hasBegun === undefined ? afterMs <= EARLY_MS : !hasBegun)
    if (suspect.lost.size < MAX_LOST_REQUESTS)
      suspect.lost.set(request, { content, isEarly, parts: hasBegun === true ? undefined : parts })
    suspect.lastLossAt = this.options.clock.now()
    if (isBroken) {
      suspect.onProbed ??= []
      this.scheduleProbe(suspect)
    }
    this.scheduleCheck()
  }

  /** Whether an endpoint lost a request and no probe has shown yet whether it crashed. */
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

  /**
   * Checks whether suspected endpoints have been replaced, and drops expired losses. Called when endpoints register.
   */
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
      parts: [...new Set(contentsAtCrash.flatMap(({ parts }) => parts ?? []))],
    })
    this.options.onCrash(id, contentsAtCrash, service, this.options.clock.now() - suspect.lastLossAt)
  }

  private forget(suspect: SuspectedEndpoint): void {
    this.suspects.delete(suspect.endpoint.id)
    resolveWaiters(suspect)
  }

  /** Checks periodically, so that unconfirmed losses expire even if no endpoint registers. */
  private scheduleCheck(): void {
    if (this.isChecking) return
    this.isChecking = true
    this.options.clock.after(CHECK_EVERY_MS, () => {
      this.isChecking = false
      try {
        this.checkSuspected()
      } finally {
        if (this.suspects.size > 0) this.scheduleCheck()
      }
    })
  }
}

/** Promise callbacks run as later microtasks, so a crash is recorded before the waiting requests continue. */
function resolveWaiters(suspect: SuspectedEndpoint): void {
  const waiting = suspect.onProbed ?? []
  suspect.onProbed = undefined
  waiting.forEach((resolve) => resolve())
}
