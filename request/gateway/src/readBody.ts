import type { IncomingMessage } from 'node:http'
import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import { BodyCollector } from './bodyCollector'
import { SMALL_BODY_BYTES, type BodyMemory, type BodyReservation } from './bodyMemory'
import { HeldBody } from './heldBody'

/**
 * Why there is no body: its caller disconnected, it is longer than allowed, there was no room for it in time, or its caller was too slow.
 */
export type BodyFailure = 'gone' | 'too-large' | 'no-room' | 'too-slow'

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  memory: BodyMemory
  clock: Clock
  maxBytes: number
  /** How long a body waits for room before it is read. */
  waitMs: Millis
  /** How long its caller may take to send it. */
  limitMs: Millis
  /** Called right before the body is read. */
  onRead?: () => void
  /** Calls back once when the caller disconnects; at once where it already has. */
  onDisconnect: (callback: () => void) => void
}

/** Reads the body of a request. Until there is room for all of it, no part of it is read, so that its caller waits. */
export async function readBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): Promise<HeldBody | BodyFailure> {
  const { memory, maxBytes, waitMs, onDisconnect } = options
  if (Number(incoming.headers['content-length']) > maxBytes) return 'too-large'
  const reservation = await memory.reserve(firstBytes(incoming), { waitMs, onDisconnect })
  if (reservation === undefined) return incoming.destroyed ? 'gone' : 'no-room'
  if (incoming.destroyed) {
    reservation.release()
    return 'gone'
  }
  options.onRead?.()
  return new BodyReader(incoming, reservation, options).read()
}

/** Returns the bytes for which room is reserved at first: all, or those of a small body where the length is unknown. */
function firstBytes({ headers }: IncomingMessage): number {
  if (headers['transfer-encoding'] !== undefined) return SMALL_BODY_BYTES
  return Number(headers['content-length'] ?? 0)
}

/** How often the pace of a body is checked. */
const CHECK_PACE_MS: Millis = 1_000

class BodyReader {
  private readonly collector = new BodyCollector()
  private size = 0
  private sizeAtCheck = 0
  /** When the body has to be whole. */
  private endsAt: Millis = Infinity
  private cancelCheck: CancelTimer = () => undefined
  private isOver = false
  private isWaiting = false

  constructor(
    private readonly incoming: IncomingMessage,
    private reservation: BodyReservation,
    private readonly options: ReadBodyOptions,
  ) {
    if (reservation.isLarge) this.collector.useBlocks(options.memory.blocks)
  }

  read(): Promise<HeldBody | BodyFailure> {
    const { incoming, options } = this
    this.endsAt = options.clock.now() + options.limitMs
    return new Promise((resolve) => {
      const end = (result: HeldBody | BodyFailure) => {
        if (this.isOver) return
        this.isOver = true
        cancelLimit()
        this.cancelCheck()
        incoming.off('data', append)
        if (typeof result === 'string') this.discard()
        resolve(result)
      }
      const append = (chunk: Buffer) => {
        this.size += chunk.length
        if (this.size > options.maxBytes) return end('too-large')
        this.collector.append(chunk)
        if (this.size > SMALL_BODY_BYTES && !this.reservation.isLarge) void this.enlarge(end)
      }
      // A body that has no bytes needs no limit.
      const cancelLimit =
        this.reservation.bytes === 0
          ? () => undefined
          : options.clock.after(options.limitMs, () => end('too-slow'))
      this.watchPace(end)
      incoming.on('data', append)
      incoming.on('end', () => {
        if (!this.isOver) end(this.finish())
      })
      incoming.on('close', () => end('gone'))
      incoming.on('error', () => end('gone'))
    })
  }

  /** Gives up the body when others need its room and it would not be whole in time at its pace. */
  private watchPace(end: (result: BodyFailure) => void): void {
    const { options, endsAt } = this
    if (!this.reservation.isLarge) return
    this.cancelCheck = options.clock.after(CHECK_PACE_MS, () => {
      const bytesPerMs = (this.size - this.sizeAtCheck) / CHECK_PACE_MS
      this.sizeAtCheck = this.size
      const isInTime = this.missingBytes() <= bytesPerMs * (endsAt - options.clock.now())
      this.watchPace(end)
      if (isInTime) this.reservation.keep()
      else this.reservation.makeSpare(() => end('too-slow'))
    })
  }

  /** Returns how many bytes are missing; one where the length is unknown. */
  private missingBytes(): number {
    const length = Number(this.incoming.headers['content-length'] ?? this.size + 1)
    return length - this.size
  }

  /** Reserves room for the largest body that is allowed, since the length of this one is unknown. */
  private async enlarge(end: (result: BodyFailure) => void): Promise<void> {
    if (this.isWaiting) return
    this.isWaiting = true
    const { incoming, options } = this
    const { memory, maxBytes } = options
    incoming.pause()
    const reservation = await memory.reserve(maxBytes, options)
    if (reservation === undefined) return end('no-room')
    if (this.isOver) return reservation.release()
    this.reservation.release()
    this.reservation = reservation
    this.collector.useBlocks(memory.blocks)
    this.sizeAtCheck = this.size
    this.watchPace(end)
    incoming.resume()
  }

  private finish(): HeldBody {
    const { reservation } = this
    reservation.keep()
    const blocks = this.collector.isInBlocks ? this.options.memory.blocks : undefined
    const body = new HeldBody(this.collector.finish(), { reservation, blocks })
    reservation.shrinkTo(body.length)
    return body
  }

  private discard(): void {
    this.collector.discard()
    this.reservation.release()
  }
}
