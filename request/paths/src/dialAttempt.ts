import { delay } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { EndpointDialer } from './endpointDialer'
import { firstDefined } from './firstDefined'
import type { ConnectResult, DialResult, PendingConnect, TunnelResult } from './pathTypes'

/** Limits the last direct attempt of a box whose links are believed to be down. */
const LAST_ATTEMPT_MS: Millis = 100
const CANCELLED: DialResult = { type: 'silent', reason: 'given up' }

/** One connection being opened: directly first and through another box beside or after it, or the other way round. */
export class DialAttempt {
  private readonly pending = new Set<PendingConnect<unknown>>()
  private isCancelled = false

  constructor(
    private readonly dialer: EndpointDialer,
    private readonly endpoint: Address,
    private readonly timeoutMs: Millis,
  ) {}

  async run(): Promise<DialResult> {
    const { paths } = this.dialer
    if (paths.isIsolated) return { type: 'no-path', reason: 'no endpoint was reached lately' }
    const result = await (paths.prefersNeighbour(this.endpoint) ? this.neighbourFirst() : this.directFirst())
    if (!this.isCancelled) return this.withoutBlame(result)
    if (result.type === 'connected') result.socket.on('error', () => undefined).destroy()
    return CANCELLED
  }

  /** An endpoint is not to blame for a connect that this box itself delayed. */
  private withoutBlame(result: DialResult): DialResult {
    if (result.type !== 'silent' || !this.dialer.isDelayed) return result
    return { type: 'no-path', reason: 'this box is delayed' }
  }

  cancel(): void {
    this.isCancelled = true
    this.pending.forEach((one) => one.cancel())
  }

  private async neighbourFirst(): Promise<DialResult> {
    const { endpoint, dialer } = this
    const relayed = await this.track(dialer.connectThroughNeighbour(endpoint))
    if (isDecisive(relayed) || relayed.type === 'silent') return this.accept(relayed, 'links are down')
    if (this.isCancelled) return CANCELLED
    const startedAt = dialer.clock.now()
    const direct = await this.track(dialer.connectDirectly(endpoint, LAST_ATTEMPT_MS))
    return this.judge(direct, relayed, startedAt)
  }

  private async directFirst(): Promise<DialResult> {
    const { endpoint, dialer, timeoutMs } = this
    const startedAt = dialer.clock.now()
    const attempt = dialer.connectDirectly(endpoint, timeoutMs)
    const direct = this.track(attempt)
    const first = await this.orSlow(direct)
    const isDecided = first?.type === 'connected' || dialer.isDelayed
    if (this.isCancelled || isDecided || !dialer.hasNeighbours) return direct
    const asking = first === undefined ? dialer.besideInProgress(endpoint) : undefined
    if (asking !== undefined) {
      await Promise.race([direct, asking])
      if (!dialer.paths.prefersNeighbour(endpoint)) return direct
      attempt.cancel()
      return this.neighbourFirst()
    }
    const beside = dialer.connectBeside(endpoint)
    const relayed = this.track(beside)
    const decided = await firstDefined<TunnelResult>([
      direct.then((one) => (one.type === 'connected' ? one : undefined)),
      relayed.then((one) => (isDecisive(one) ? one : undefined)),
    ])
    if (decided === undefined) return this.judge(await direct, await relayed, startedAt)
    if (decided.type === 'connected' && decided.via === undefined) beside.cancel()
    else attempt.cancel()
    return this.accept(decided, first?.type === 'refused' ? first.reason : 'no connection in time')
  }

  /** Resolves to the result of a direct attempt; undefined as soon as the attempt takes long. */
  private async orSlow(direct: Promise<ConnectResult>): Promise<ConnectResult | undefined> {
    const slowMs = this.dialer.slowAfterMs(this.endpoint)
    return Promise.race([direct, delay(this.dialer.clock, slowMs).then(() => undefined)])
  }

  private accept(result: TunnelResult, reason: string): DialResult {
    if (result.type === 'refused') this.dialer.paths.recordRefused(this.endpoint)
    if (result.type === 'unavailable' || result.type === 'indirect')
      return { type: 'no-path', reason: result.reason }
    if (result.type === 'connected' && result.via !== undefined)
      this.dialer.recordIndirect(this.endpoint, result.via, reason)
    return result
  }

  /** Judges a failed direct attempt to an endpoint that no other box has reached or found to refuse connections. */
  private async judge(direct: ConnectResult, relayed: TunnelResult, startedAt: Millis): Promise<DialResult> {
    if (direct.type === 'connected' || relayed.type === 'silent') return direct
    if (!(await this.dialer.areLinksDown(this.endpoint, startedAt))) return direct
    // A box that works but lacks this endpoint may still reach others.
    if (relayed.type === 'unavailable') this.dialer.recordIsolated(direct.reason)
    return { type: 'no-path', reason: direct.reason }
  }

  private track<Result>(attempt: PendingConnect<Result>): Promise<Result> {
    this.pending.add(attempt)
    return attempt.result.finally(() => this.pending.delete(attempt))
  }
}

/** Whether a box has connected to an endpoint or found that it refuses connections. */
function isDecisive({ type }: TunnelResult): boolean {
  return type === 'connected' || type === 'refused'
}
