import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createSystemClock } from '@forkstage/clock'
import { PathTable, type Dial } from '@forkstage/paths'
import { joinSockets, TunnelStream } from '@forkstage/tunnel'
import type { RelayParts } from '../src'

/** Starts a box that carries all connections of an entry. */
export function carryAll(): Promise<Carrier> {
  return Carrier.start()
}

/** Carries all connections of an entry, as another box would. */
export class Carrier implements NonNullable<RelayParts['dialer']> {
  readonly paths = new PathTable(createSystemClock())
  private readonly sockets = new Set<Socket>()
  private targets: string[] = []
  private received = 0

  private constructor(private readonly server: Server) {
    server.on('connection', (peer) => {
      const [host, port] = this.targets.shift()!.split(':')
      const endpoint = connect({ host, port: Number(port), allowHalfOpen: true })
      this.sockets.add(peer).add(endpoint)
      joinSockets(peer, endpoint)
    })
  }

  static async start(): Promise<Carrier> {
    const server = createServer({ allowHalfOpen: true })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return new Carrier(server)
  }

  dial = (endpoint: string): Dial => {
    this.targets.push(endpoint)
    const { port } = this.server.address() as AddressInfo
    const own = connect({ host: '127.0.0.1', port })
    const socket = new TunnelStream(own)
    own.on('data', (bytes) => (this.received += bytes.length))
    return {
      result: Promise.resolve({ type: 'connected', socket, via: 'carrier' }),
      cancel: () => socket.destroy(),
    }
  }

  isPathLoss = () => Promise.resolve(true)
  onIndirect = () => () => undefined

  /** Closes all connections once the entry has received so many bytes, in order as the operating system does for a process that has died. */
  async endAfter(bytes: number): Promise<void> {
    while (this.received < bytes) await new Promise((resolve) => setImmediate(resolve))
    this.close()
  }

  stop(): void {
    this.close()
    this.server.close()
  }

  private close(): void {
    this.sockets.forEach((socket) => socket.destroy())
    this.sockets.clear()
  }
}
