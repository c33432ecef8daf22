import { Socket } from 'node:net'
import { createSeededRandom, ManualClock } from '@forkstage/clock'
import { createSilentLogger, type Logger } from '@forkstage/logger'
import {
  EndpointDialer,
  type ConnectResult,
  type DialResult,
  type PendingConnect,
  type TunnelResult,
} from '../src'

/** How an endpoint or another box responds to a connection attempt. */
export type Response = 'connects' | 'refuses' | 'hangs' | 'unavailable' | 'lacks'

const CONNECT_MS = 1
/** Event loop turns in which all promises of one step settle. */
const TURNS = 6

/** One box with a manual clock that reaches endpoints and other boxes as told. */
export class DialerHarness {
  readonly clock = new ManualClock(10_000)
  readonly endpoints = ['a:1', 'b:1', 'c:1', 'd:1']
  neighbours = ['n1:1', 'n2:1', 'n3:1', 'n4:1', 'n5:1']
  /** Response of an endpoint to this box. */
  direct: (endpoint: string) => Response = () => 'connects'
  /** Response of a box to a request for a connection. */
  through: (box: string, endpoint: string) => Response = () => 'connects'
  /** The delay that the box adds to its connects by itself. */
  ownDelayMs = 0
  /** Durations of connects that opened, and of those without an answer. */
  readonly connected: number[] = []
  readonly unanswered: number[] = []
  readonly directAttempts: string[] = []
  readonly asked: string[] = []
  readonly sockets: Socket[] = []
  readonly events: string[] = []
  readonly dialer: EndpointDialer

  constructor() {
    const record: Logger['warn'] = (event) => void this.events.push(event)
    this.dialer = new EndpointDialer({
      connect: (endpoint, timeoutMs) => {
        this.directAttempts.push(endpoint)
        return this.respond(this.direct(endpoint), timeoutMs) as PendingConnect<ConnectResult>
      },
      tunnel: (box, endpoint, timeoutMs) => {
        this.asked.push(box)
        return this.respond(this.through(box, endpoint), timeoutMs)
      },
      neighbours: () => this.neighbours,
      endpoints: () => this.endpoints,
      onConnected: (_endpoint, tookMs) => void this.connected.push(tookMs),
      onUnanswered: (tookMs) => void this.unanswered.push(tookMs),
      ownDelayMs: () => this.ownDelayMs,
      clock: this.clock,
      random: createSeededRandom(5),
      logger: { ...createSilentLogger(), warn: record, info: record },
    })
  }

  /** Opens a connection and advances the clock until it is open or has failed. */
  async dial(endpoint = 'a:1', timeoutMs = 400): Promise<DialResult & { tookMs: number }> {
    const startedAt = this.clock.now()
    let result: DialResult | undefined
    void this.dialer.dial(endpoint, timeoutMs).result.then((one) => (result = one))
    await this.settle()
    for (; result === undefined; await this.settle()) this.clock.advance(CONNECT_MS)
    return { ...result, tookMs: this.clock.now() - startedAt }
  }

  async advance(forMs: number): Promise<void> {
    for (let passed = 0; passed < forMs; passed += CONNECT_MS) {
      this.clock.advance(CONNECT_MS)
      await this.settle()
    }
  }

  /** Connections that are open. */
  get open(): number {
    return this.sockets.filter((socket) => !socket.destroyed).length
  }

  private respond(response: Response, timeoutMs: number): PendingConnect<TunnelResult> {
    let finish: (result: TunnelResult) => void = () => undefined
    const result = new Promise<TunnelResult>((resolve) => (finish = resolve))
    let socket: Socket | undefined
    let isCancelled = false
    const silent = () => finish({ type: 'silent', reason: 'no connection in time' })
    this.clock.after(timeoutMs, silent)
    this.clock.after(CONNECT_MS, () => {
      if (response === 'refuses') finish({ type: 'refused', reason: 'refused' })
      if (response === 'lacks') finish({ type: 'indirect', reason: 'not reached from there' })
      if (response === 'unavailable') finish({ type: 'unavailable', reason: 'no path from there' })
      if (response !== 'connects' || isCancelled) return
      socket = new Socket()
      this.sockets.push(socket)
      finish({ type: 'connected', socket })
    })
    const cancel = () => {
      isCancelled = true
      socket?.destroy()
      silent()
    }
    return { result, cancel }
  }

  private async settle(): Promise<void> {
    for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve))
  }
}
