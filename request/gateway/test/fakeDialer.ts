import { createSystemClock } from '@forkstage/clock'
import { connectDirectly, PathTable, type Dial, type DialResult } from '@forkstage/paths'
import type { RelayParts } from '../src'

const clock = createSystemClock()

/** A dialer that connects directly, and whose listeners and results are set by the test. */
export class FakeDialer implements NonNullable<RelayParts['dialer']> {
  readonly paths = new PathTable(clock)
  /** The result of the next dials; a direct connection if undefined. */
  failure: Exclude<DialResult, { type: 'connected' }> | undefined
  lostOnTheWay = false
  /** Called once a connection to an endpoint is open, before its request is sent. */
  onConnected: (endpoint: string) => void = () => undefined
  private listeners: (() => void)[] = []

  dial: NonNullable<RelayParts['dialer']>['dial'] = (endpoint, timeoutMs) =>
    this.failure === undefined
      ? this.connect(endpoint, timeoutMs)
      : { result: Promise.resolve(this.failure), cancel: () => undefined }

  isPathLoss = () => Promise.resolve(this.lostOnTheWay)

  onIndirect(_endpoint: string, callback: () => void): () => void {
    this.listeners.push(callback)
    return () => void (this.listeners = this.listeners.filter((one) => one !== callback))
  }

  get listenerCount(): number {
    return this.listeners.length
  }

  loseEndpoint(endpoint: string): void {
    this.paths.recordIndirect(endpoint)
    this.listeners.forEach((listener) => listener())
  }

  private connect(endpoint: string, timeoutMs: number): Dial {
    const dial = connectDirectly(endpoint, timeoutMs, clock)
    const result = dial.result.then((opened) => {
      this.onConnected(endpoint)
      return opened
    })
    return { ...dial, result }
  }
}
