import { pack, unpack } from 'msgpackr'
import { assertInvariant } from '@forkstage/error'
import type { StateMachine } from '@forkstage/group'
import type { Claim, JournalCommand, JournalLimits, JournalResult, Outcome } from './claimTypes'

interface StoredJournal {
  time: number
  open: Claim[]
  /** Settled claims, packed and concatenated, oldest outcome first; and the length of each in bytes. */
  settled: Uint8Array
  lengths: number[]
}

/** A settled claim, packed once, because it no longer changes and most claims are settled. */
interface SettledClaim {
  packed: Uint8Array
  settledAt: number
  bodyBytes: number
}

type ClaimCommand = Extract<JournalCommand, { type: 'claim' }>
type TakeoverCommand = Extract<JournalCommand, { type: 'takeover' }>

/** The replicated state of one journal group: its claims and outcomes. */
export class JournalMachine implements StateMachine<JournalCommand, JournalResult> {
  private open = new Map<string, Claim>()
  /** By key, in the order of the outcomes: the oldest expires first. */
  private settled = new Map<string, SettledClaim>()
  /** Journal time: the sum of the leaders' ticks in milliseconds, so that no wall clock step expires a claim early. */
  private time = 0
  private outcomeBytes = 0

  constructor(private readonly limits: JournalLimits) {}

  get size(): number {
    return this.open.size + this.settled.size
  }

  get keptOutcomeBytes(): number {
    return this.outcomeBytes
  }

  find(key: string): Claim | undefined {
    const settled = this.settled.get(key)
    return settled === undefined ? this.open.get(key) : (unpack(settled.packed) as Claim)
  }

  /** Scans all claims, and so is for `explain` only. */
  findRequest(request: string): Claim | undefined {
    for (const claim of this.open.values()) if (claim.request === request) return claim
    for (const key of this.settled.keys()) {
      const claim = this.find(key)
      if (claim?.request === request) return claim
    }
    return undefined
  }

  apply(command: JournalCommand): JournalResult {
    switch (command.type) {
      case 'claim':
        return this.claim(command)
      case 'takeover':
        return this.takeOver(command)
      case 'decoding':
        return this.updateClaim(command.key, command.epoch, (claim) => {
          claim.decode = { endpoint: command.endpoint, epoch: command.attempt }
        })
      case 'settle':
        return this.updateClaim(command.key, command.epoch, (claim) => this.settle(claim, command.outcome))
      case 'forget':
        return this.updateClaim(command.key, command.epoch, (claim) => void this.open.delete(claim.key))
      case 'tick':
        this.advanceTime(command.elapsed)
        return { type: 'ok' }
    }
  }

  snapshot(): Uint8Array {
    const settled = [...this.settled.values()].map((claim) => claim.packed)
    const lengths = settled.map((packed) => packed.length)
    // One byte array: packing each claim as a separate value can take longer than an election timeout.
    const stored: StoredJournal = {
      time: this.time,
      open: [...this.open.values()],
      settled: Buffer.concat(settled),
      lengths,
    }
    return pack(stored)
  }

  restore(data: Uint8Array): void {
    const stored = unpack(data) as StoredJournal
    this.time = stored.time
    this.open = new Map(stored.open.map((claim) => [claim.key, claim]))
    this.settled = new Map()
    this.outcomeBytes = 0
    let offset = 0
    for (const length of stored.lengths) {
      const packed = Uint8Array.from(stored.settled.subarray(offset, offset + length))
      this.storeSettled(unpack(packed) as Claim, packed)
      offset += length
    }
  }

  private claim(command: ClaimCommand): JournalResult {
    const known = this.find(command.key)
    if (known !== undefined) return this.resultForKnown(known, command)
    if (this.size >= this.limits.maxClaims) return { type: 'full' }
    const { key, bodyDigest, request, owner, repeatable } = command
    this.open.set(key, { key, bodyDigest, request, epoch: 1, owner, repeatable, claimedAt: this.time })
    return { type: 'new', epoch: 1, request }
  }

  private resultForKnown(known: Claim, command: ClaimCommand): JournalResult {
    if (known.bodyDigest !== command.bodyDigest) return { type: 'mismatch' }
    if (known.outcome !== undefined) return { type: 'done', claim: known }
    // The same claim, sent again because the answer was lost.
    if (known.request === command.request) return { type: 'new', epoch: known.epoch, request: known.request }
    return { type: 'running', claim: known }
  }

  private takeOver(command: TakeoverCommand): JournalResult {
    const claim = this.find(command.key)
    if (claim === undefined) return { type: 'unknown' }
    if (claim.outcome !== undefined) return { type: 'done', claim }
    const isResend = claim.epoch === command.epoch + 1 && sameOwner(claim, command)
    if (isResend) return { type: 'new', epoch: claim.epoch, request: claim.request }
    if (claim.epoch !== command.epoch || !claim.repeatable) return { type: 'running', claim }
    claim.epoch += 1
    claim.owner = command.owner
    return { type: 'new', epoch: claim.epoch, request: claim.request }
  }

  /** Changes an open claim for its newest owner, which has the newest epoch. */
  private updateClaim(key: string, epoch: number, apply: (claim: Claim) => void): JournalResult {
    const claim = this.find(key)
    if (claim === undefined) return { type: 'unknown' }
    if (claim.epoch !== epoch) return { type: 'fenced' }
    if (claim.outcome !== undefined) return { type: 'done', claim }
    apply(claim)
    return { type: 'ok' }
  }

  private settle(claim: Claim, outcome: Outcome): void {
    assertInvariant(claim.outcome === undefined, 'a request has one outcome', () => claim.key)
    const exceedsLimit = this.outcomeBytes + (outcome.body?.length ?? 0) > this.limits.maxOutcomeBytes
    claim.outcome = exceedsLimit ? { ...outcome, body: undefined } : outcome
    claim.settledAt = this.time
    this.open.delete(claim.key)
    // Copies the bytes, since the packer's buffer is shared and much larger.
    this.storeSettled(claim, Uint8Array.from(pack(claim)))
  }

  private storeSettled(claim: Claim, packed: Uint8Array): void {
    const bodyBytes = claim.outcome?.body?.length ?? 0
    this.settled.set(claim.key, { packed, settledAt: claim.settledAt ?? this.time, bodyBytes })
    this.outcomeBytes += bodyBytes
  }

  private advanceTime(elapsed: number): void {
    assertInvariant(elapsed >= 0, 'journal time never decreases', () => `${elapsed}`)
    this.time += elapsed
    const { retainMs, openMs } = this.limits
    for (const [key, claim] of this.settled) {
      if (this.time - claim.settledAt <= retainMs) break
      this.settled.delete(key)
      this.outcomeBytes -= claim.bodyBytes
    }
    for (const [key, claim] of this.open) {
      if (this.time - claim.claimedAt <= retainMs + openMs) break
      this.open.delete(key)
    }
  }
}

function sameOwner(claim: Claim, command: TakeoverCommand): boolean {
  const { box, incarnation } = claim.owner
  return box === command.owner.box && incarnation === command.owner.incarnation
}
