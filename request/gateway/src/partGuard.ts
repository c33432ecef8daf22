import { delay } from '@forkstage/clock'
import type { ContentRefusal, PartDigest } from '@forkstage/crashes'
import type { Millis } from '@forkstage/types'
import { waitDeadline } from './isolatedPlace'
import type { RelayJob, RelayParts } from './relayParts'

/** Poll interval while it is open whether a request is refused. */
const OPEN_POLL_MS: Millis = 50

/**
 * Checks the prompt parts of a stream against the known crashes before each attempt: it is refused, waits until that is
 * certain, or waits for its turn with a part that one request at a time may try.
 */
export class PartGuard {
  private turnOf: PartDigest | undefined

  constructor(
    private readonly parts: RelayParts,
    private readonly job: RelayJob,
    private readonly isOver: () => boolean,
  ) {}

  /** Resolves once the request may be sent; resolves to a refusal if it must not. */
  async acquire(): Promise<ContentRefusal | undefined> {
    const { crashes, clock } = this.parts
    this.end()
    const { request, service } = this.job
    const until = waitDeadline(this.parts, this.job)
    for (;;) {
      if (this.isOver()) return undefined
      const refusal = crashes?.refusal(request, service.name)
      if (refusal !== undefined) {
        if (refusal.openMs === undefined || clock.now() >= until) return refusal
        await delay(clock, Math.min(refusal.openMs, OPEN_POLL_MS))
        continue
      }
      const part = crashes?.partOnTrial?.(request, service.name)
      if (part === undefined || part === this.turnOf || clock.now() >= until) return undefined
      const answer = await crashes!.askTurn(part, service.name, request.id)
      if (answer.type === 'later') await delay(clock, answer.retryAfterMs)
      else this.turnOf = part
    }
  }

  /** Ends the turn of the request. Called once it is known whether the engine that it lost has crashed. */
  end(): void {
    if (this.turnOf === undefined) return
    this.parts.crashes?.endTurn(this.turnOf, this.job.service.name, this.job.request.id)
    this.turnOf = undefined
  }
}
