import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { Millis } from '@forkstage/types'
import { BlockPool, bytesInBlocks } from './blockPool'

/** Bodies up to this size wait for no larger ones. */
export const SMALL_BODY_BYTES = 64 * 1024
/** Share of the budget that larger bodies may take together. */
const LARGE_SHARE = 0.8

/** Options of {@link BodyMemory}. */
export interface BodyMemoryOptions {
  /** Budget for the bodies of all requests. */
  limitBytes: number
  clock: Clock
  logger: Logger
}

/** Options of {@link BodyMemory.reserve}. */
export interface ReserveOptions {
  /** How long to wait for room. */
  waitMs: Millis
  /** Calls back once when the caller has disconnected. */
  onDisconnect: (callback: () => void) => void
}

interface Waiter {
  bytes: number
  resolve: (reservation: BodyReservation | undefined) => void
  cancelTimer: CancelTimer
}

/**
 * Bounds the bytes of request bodies that an entry holds. The whole of a body is reserved before it is read, so that a body that
 * has begun never waits for others. Where there is no room, bodies that no repeat after a run can need are let go first, the one that was
 * sent first before the others; larger bodies then wait in the order of their arrival, and smaller ones pass them.
 */
export class BodyMemory {
  readonly blocks = new BlockPool()
  private held = 0
  private heldByLarge = 0
  private waiters: Waiter[] = []
  private readonly spare = new Set<BodyReservation>()
  private isGranting = false
  private refused = 0

  constructor(private readonly options: BodyMemoryOptions) {}

  get limitBytes(): number {
    return this.options.limitBytes
  }

  /** Bytes that are reserved. */
  get heldBytes(): number {
    return this.held
  }

  /** Number of bodies that wait for room. */
  get waitingCount(): number {
    return this.waiters.length
  }

  /** Number of requests that found no room in time. */
  get refusedCount(): number {
    return this.refused
  }

  /** Whether bodies wait for room. */
  get isSpent(): boolean {
    return this.waiters.length > 0
  }

  /** Reserves room for a body. Resolves to undefined if there is none in time. */
  reserve(bytes: number, { waitMs, onDisconnect }: ReserveOptions): Promise<BodyReservation | undefined> {
    const mustQueue = isLarge(bytes) && this.waiters.some((waiter) => isLarge(waiter.bytes))
    const reservation = mustQueue ? undefined : this.tryReserve(bytes)
    if (reservation !== undefined) return Promise.resolve(reservation)
    return new Promise((resolve) => {
      const waiter: Waiter = { bytes, resolve, cancelTimer: () => undefined }
      this.waiters.push(waiter)
      if (this.waiters.length === 1) this.logSpent()
      waiter.cancelTimer = this.options.clock.after(waitMs, () => {
        this.refused += 1
        this.giveUp(waiter)
      })
      onDisconnect(() => this.giveUp(waiter))
    })
  }

  private giveUp(waiter: Waiter): void {
    if (!this.waiters.includes(waiter)) return
    this.settle(waiter, undefined)
    this.grant()
  }

  /** Gives the room that there is to those that wait. */
  private grant(): void {
    if (this.isGranting) return
    this.isGranting = true
    let isLargeWaiting = false
    for (const waiter of [...this.waiters]) {
      if (isLarge(waiter.bytes) && isLargeWaiting) continue
      const reservation = this.tryReserve(waiter.bytes)
      if (reservation !== undefined) this.settle(waiter, reservation)
      else isLargeWaiting ||= isLarge(waiter.bytes)
    }
    this.isGranting = false
  }

  private settle(waiter: Waiter, reservation: BodyReservation | undefined): void {
    this.waiters = this.waiters.filter((one) => one !== waiter)
    waiter.cancelTimer()
    waiter.resolve(reservation)
    if (this.waiters.length === 0) this.logRoom()
  }

  private tryReserve(bytes: number): BodyReservation | undefined {
    const counted = this.countedBytes(bytes)
    if (!this.fits(counted, isLarge(bytes)) && !this.makeRoom(counted, isLarge(bytes))) return undefined
    const reservation = new BodyReservation(isLarge(bytes), (change) => this.update(reservation, change))
    reservation.resize(counted)
    return reservation
  }

  /** A body that is larger than all large ones may be together is read while no other large one is held. */
  private countedBytes(bytes: number): number {
    return isLarge(bytes) ? Math.min(bytesInBlocks(bytes), this.largeLimit) : bytes
  }

  private get largeLimit(): number {
    return this.limitBytes * LARGE_SHARE
  }

  private fits(bytes: number, isForLarge: boolean, spareBytes = 0): boolean {
    if (isForLarge && this.heldByLarge - spareBytes + bytes > this.largeLimit) return false
    return this.held - spareBytes + bytes <= this.limitBytes
  }

  /** Lets bodies go until others fit; none if that is not enough. */
  private makeRoom(bytes: number, isForLarge: boolean): boolean {
    const spareBytes = [...this.spare].reduce((sum, one) => sum + one.bytes, 0)
    if (!this.fits(bytes, isForLarge, spareBytes)) return false
    const wasGranting = this.isGranting
    this.isGranting = true
    for (const one of this.spare) {
      if (this.fits(bytes, isForLarge)) break
      one.discard()
    }
    this.isGranting = wasGranting
    return true
  }

  private update(reservation: BodyReservation, change: ReservationChange): void {
    this.held += change.bytes
    if (reservation.isLarge) this.heldByLarge += change.bytes
    if (reservation.isSpare) this.spare.add(reservation)
    else this.spare.delete(reservation)
    if (change.bytes < 0 || reservation.isSpare) this.grant()
  }

  private logSpent(): void {
    const { logger, limitBytes } = this.options
    const { held, refused } = this
    logger.warn('memory.spent', { held, limit: limitBytes, spare: this.spare.size, refused })
  }

  private logRoom(): void {
    const { logger, limitBytes } = this.options
    logger.info('memory.room', { held: this.held, limit: limitBytes, refused: this.refused })
  }
}

interface ReservationChange {
  bytes: number
}

/** Room for one body. */
export class BodyReservation {
  bytes = 0
  private onLetGo: (() => void) | undefined

  constructor(
    readonly isLarge: boolean,
    private readonly onChange: (change: ReservationChange) => void,
  ) {}

  /** Whether the body is let go when others need the room. */
  get isSpare(): boolean {
    return this.onLetGo !== undefined
  }

  /** Lets `onLetGo` be called when others need the room; it has to release the reservation. */
  makeSpare(onLetGo: () => void): void {
    if (this.bytes === 0) return
    this.onLetGo = onLetGo
    this.onChange({ bytes: 0 })
  }

  /** Keeps the room until it is released. */
  keep(): void {
    if (!this.isSpare) return
    this.onLetGo = undefined
    this.onChange({ bytes: 0 })
  }

  discard(): void {
    this.onLetGo?.()
  }

  /** Gives back the room that a body of this length does not need. */
  shrinkTo(length: number): void {
    this.resize(Math.min(this.bytes, this.isLarge ? bytesInBlocks(length) : length))
  }

  /** Changes the room that it takes. */
  resize(bytes: number): void {
    const change = bytes - this.bytes
    if (change === 0) return
    this.bytes = bytes
    this.onChange({ bytes: change })
  }

  /** Gives the room back; does nothing if that has been done. */
  release(): void {
    this.onLetGo = undefined
    this.resize(0)
  }
}

function isLarge(bytes: number): boolean {
  return bytes > SMALL_BODY_BYTES
}
