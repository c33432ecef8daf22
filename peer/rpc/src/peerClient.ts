import type { Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { Address, Millis } from '@forkstage/types'
import { PeerUnreachableError } from './peerErrors'
import { openPeerConnection, type PeerConnection, type PeerCredentials } from './peerConnection'

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  credentials: PeerCredentials
  clock: Clock
  logger: Logger
}

/** Options of one call. */
export interface PeerCallOptions {
  /** How long to wait for the answer, in milliseconds. */
  deadline: Millis
  /** The step of the request, for errors. */
  step: string
}

/** Calls other boxes. An interface, so that tests can use a fake. */
export interface PeerCaller {
  call<Result>(address: Address, method: string, params: unknown, options: PeerCallOptions): Promise<Result>
  /** Sends a message without waiting for an answer; the message is lost if no connection can be opened. */
  notify(address: Address, method: string, params: unknown): void
}

interface PeerLink {
  connection?: PeerConnection
  opening?: Promise<PeerConnection>
  failures: number
  retryAt: Millis
}

const INITIAL_RETRY_DELAY_MS = 50
const MAX_RETRY_DELAY_MS = 500

/** Keeps long-lived connections to other boxes, opened on first use and reopened on the next use after a loss. */
export class PeerClient implements PeerCaller {
  private readonly links = new Map<Address, PeerLink>()
  private closed = false

  constructor(private readonly options: PeerClientOptions) {}

  async call<Result>(
    address: Address,
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<Result> {
    const connection = await this.connect(address, options.step)
    return (await connection.call(method, params, options.deadline, options.step)) as Result
  }

  notify(address: Address, method: string, params: unknown): void {
    const { connection } = this.linkTo(address)
    if (connection !== undefined) return connection.notify(method, params)
    // A failure to connect is ignored: callers repeat the messages that must arrive.
    this.connect(address, method).then(
      (opened) => opened.notify(method, params),
      () => undefined,
    )
  }

  close(): void {
    this.closed = true
    for (const link of this.links.values()) link.connection?.close()
  }

  private linkTo(address: Address): PeerLink {
    const known = this.links.get(address)
    if (known !== undefined) return known
    const fresh: PeerLink = { failures: 0, retryAt: 0 }
    this.links.set(address, fresh)
    return fresh
  }

  private connect(address: Address, step: string): Promise<PeerConnection> {
    const link = this.linkTo(address)
    if (this.closed) return Promise.reject(new PeerUnreachableError(address, step, 'this box is stopping'))
    if (link.connection !== undefined) return Promise.resolve(link.connection)
    if (link.opening !== undefined) return link.opening
    if (this.options.clock.now() < link.retryAt) {
      return Promise.reject(
        new PeerUnreachableError(address, step, 'the last connection attempt has just failed'),
      )
    }
    link.opening = this.open(address, link)
    return link.opening
  }

  private async open(address: Address, link: PeerLink): Promise<PeerConnection> {
    const { credentials, clock, logger } = this.options
    const onClose = (reason: string) => {
      if (link.connection === undefined) return
      link.connection = undefined
      if (!this.closed) logger.debug('peer.lost', { peer: address, reason })
    }
    try {
      const connection = await openPeerConnection(address, { credentials, clock, onClose })
      link.connection = connection
      link.failures = 0
      return connection
    } catch (error) {
      link.failures += 1
      link.retryAt = clock.now() + Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** link.failures)
      throw error
    } finally {
      link.opening = undefined
    }
  }
}
