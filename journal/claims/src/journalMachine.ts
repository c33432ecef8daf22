import { pack, unpack } from 'msgpackr'
import { assertInvariant } from '@forkstage/error'
import type { StateMachine } from '@forkstage/group'
import type { Claim, JournalCommand, JournalLimits, JournalResult, Outcome } from './claimTypes'

interface StoredJournal {
  time: number
  claims: Claim[]
}

type ClaimCommand = Extract<JournalCommand, { type: 'claim' }>
type TakeoverCommand = Extract<JournalCommand, { type: 'takeover' }>

/** The claims and outcomes of one journal group. */
export class JournalMachine implements StateMachine<JournalCommand, JournalResult> {
  private claims = new Map<string, Claim>()
  /** Journal time: the sum of what the leaders measured, so that a stepped wall clock forgets nothing early. */
  private time = 0
  private outcomeBytes = 0

  constructor(private readonly limits: JournalLimits) {}

  get size(): number {
    return this.claims.size
  }

  get keptOutcomeBytes(): number {
    return this.outcomeBytes
  }

  find(key: string): Claim | undefined {
    return this.claims.get(key)
  }

  findRequest(request: string): Claim | undefined {
    for (const claim of this.claims.values()) if (claim.request === request) return claim
    return undefined
  }

  apply(command: JournalCommand): JournalResult {
    switch (command.type) {
      case 'claim':
        return this.claim(command)
      case 'takeover':
        return this.takeOver(command)
      case 'decoding':
        return this.change(command.key, command.epoch, (claim) => {
          claim.decode = { endpoint: command.endpoint, epoch: command.attempt }
        })
      case 'settle':
        return this.change(command.key, command.epoch, (claim) => this.settle(claim, command.outcome))
      case 'forget':
        return this.change(command.key, command.epoch, (claim) => this.remove(claim))
      case 'tick':
        this.tick(command.elapsed)
        return { type: 'ok' }
    }
  }

  snapshot(): Uint8Array {
    const stored: StoredJournal = { time: this.time, claims: [...this.claims.values()] }
    return pack(stored)
  }

  restore(data: Uint8Array): void {
    const stored = unpack(data) as StoredJournal
    this.time = stored.time
    this.claims = new Map(stored.claims.map((claim) => [claim.key, claim]))
    this.outcomeBytes = stored.claims.reduce((sum, claim) => sum + keptBytes(claim), 0)
  }

  private claim(command: ClaimCommand): JournalResult {
    const known = this.claims.get(command.key)
    if (known !== undefined) return this.answerKnown(known, command)
    if (this.claims.size >= this.limits.maxClaims) return { type: 'full' }
    const { key, bodyDigest, request, owner, repeatable } = command
    this.claims.set(key, { key, bodyDigest, request, epoch: 1, owner, repeatable, claimedAt: this.time })
    return { type: 'new', epoch: 1, request }
  }

  private answerKnown(known: Claim, command: ClaimCommand): JournalResult {
    if (known.bodyDigest !== command.bodyDigest) return { type: 'mismatch' }
    if (known.outcome !== undefined) return { type: 'done', claim: known }
    // The same claim sent twice, because its answer was lost.
    if (known.request === command.request) return { type: 'new', epoch: known.epoch, request: known.request }
    return { type: 'running', claim: known }
  }

  private takeOver(command: TakeoverCommand): JournalResult {
    const claim = this.claims.get(command.key)
    if (claim === undefined) return { type: 'unknown' }
    if (claim.outcome !== undefined) return { type: 'done', claim }
    const isResend = claim.epoch === command.epoch + 1 && sameOwner(claim, command)
    if (isResend) return { type: 'new', epoch: claim.epoch, request: claim.request }
    if (claim.epoch !== command.epoch || !claim.repeatable) return { type: 'running', claim }
    claim.epoch += 1
    claim.owner = command.owner
    return { type: 'new', epoch: claim.epoch, request: claim.request }
  }

  /** Changes an open claim on behalf of its newest owner. */
  private change(key: string, epoch: number, apply: (claim: Claim) => void): JournalResult {
    const claim = this.claims.get(key)
    if (claim === undefined) return { type: 'unknown' }
    if (claim.epoch !== epoch) return { type: 'fenced' }
    if (claim.outcome !== undefined) return { type: 'done', claim }
    apply(claim)
    return { type: 'ok' }
  }

  private settle(claim: Claim, outcome: Outcome): void {
    assertInvariant(claim.outcome === undefined, 'a request has one outcome', () => claim.key)
    const tooMuch = this.outcomeBytes + (outcome.body?.length ?? 0) > this.limits.maxOutcomeBytes
    claim.outcome = tooMuch ? { ...outcome, body: undefined } : outcome
    claim.settledAt = this.time
    this.outcomeBytes += keptBytes(claim)
  }

  private remove(claim: Claim): void {
    this.outcomeBytes -= keptBytes(claim)
    this.claims.delete(claim.key)
  }

  private tick(elapsed: number): void {
    assertInvariant(elapsed >= 0, 'journal time never goes back', () => `${elapsed}`)
    this.time += elapsed
    for (const claim of this.claims.values()) if (this.isExpired(claim)) this.remove(claim)
  }

  private isExpired(claim: Claim): boolean {
    const { retainMs, openMs } = this.limits
    if (claim.settledAt !== undefined) return this.time - claim.settledAt > retainMs
    return this.time - claim.claimedAt > retainMs + openMs
  }
}

function keptBytes(claim: Claim): number {
  return claim.outcome?.body?.length ?? 0
}

function sameOwner(claim: Claim, command: TakeoverCommand): boolean {
  const { box, incarnation } = claim.owner
  return box === command.owner.box && incarnation === command.owner.incarnation
}
