import { AsyncLocalStorage, AsyncResource } from 'node:async_hooks'
import { Server, Socket } from 'node:net'

/**
 * How a machine is cut from endpoints. `hang`: nothing arrives any more, also on open connections; `reset`: open
 * connections are reset and new ones refused; `live`: only new connections are refused.
 */
export type PartitionKind = 'hang' | 'reset' | 'live'

/** A port of the loopback network where nothing listens. */
const CLOSED_PORT = 1

interface OpenConnection {
  machine: number
  socket: Socket
}

/** Cuts machines of this process from endpoints, by their outgoing connections; other connections are not affected. */
export class EndpointPartition {
  private readonly machines = new AsyncLocalStorage<number>()
  private readonly kinds = new Map<number, PartitionKind>()
  private readonly open = new Set<OpenConnection>()
  private readonly counts = new Map<number, number>()
  private readonly original = Socket.prototype.connect
  private readonly originalEmit = Server.prototype.emit

  /** @param isEndpoint whether an address belongs to an endpoint. */
  constructor(private readonly isEndpoint: (address: string) => boolean) {
    const connect = (socket: Socket, args: unknown[]) => this.connect(socket, args)
    Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
      return connect(this, args)
    } as typeof Socket.prototype.connect
    const emit = this.originalEmit
    Server.prototype.emit = function (this: Server, event: string, ...args: unknown[]) {
      if (event === 'connection') bindEvents(args[0] as Socket)
      return (emit as (...all: unknown[]) => boolean).call(this, event, ...args)
    } as typeof Server.prototype.emit
  }

  /** Starts a machine, whose connections are then told from those of others. */
  start<Result>(machine: number, start: () => Promise<Result>): Promise<Result> {
    return this.machines.run(machine, start)
  }

  begin(machine: number, kind: PartitionKind): void {
    this.kinds.set(machine, kind)
    for (const one of this.open) {
      if (one.machine !== machine || kind === 'live') continue
      if (kind === 'hang') one.socket.pause()
      else one.socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
    }
  }

  end(machine: number): void {
    this.kinds.delete(machine)
    for (const one of this.open) if (one.machine === machine) one.socket.resume()
  }

  /** Returns how many connections a machine has opened to endpoints. */
  opened(machine: number): number {
    return this.counts.get(machine) ?? 0
  }

  restore(): void {
    Socket.prototype.connect = this.original
    Server.prototype.emit = this.originalEmit
  }

  private connect(socket: Socket, args: unknown[]): Socket {
    const options = targetOf(args)
    const machine = this.machines.getStore()
    const isEndpoint = options !== undefined && this.isEndpoint(`${options.host}:${options.port}`)
    if (machine === undefined || !isEndpoint) return this.original.apply(socket, args as never)
    const kind = this.kinds.get(machine)
    if (kind === 'hang') return keepConnecting(socket)
    if (kind !== undefined) options.port = CLOSED_PORT
    else this.follow(machine, socket)
    return this.original.apply(socket, args as never)
  }

  private follow(machine: number, socket: Socket): void {
    const one = { machine, socket }
    socket.once('connect', () => {
      this.counts.set(machine, this.opened(machine) + 1)
      this.open.add(one)
    })
    socket.once('close', () => this.open.delete(one))
  }
}

/** `connect` gets its options either as they are or inside the list that `net.connect` passes on. */
function targetOf([first]: unknown[]): { host: string; port: number } | undefined {
  const options = (Array.isArray(first) ? first[0] : first) as { host?: string; port?: number } | undefined
  return options?.host === undefined ? undefined : (options as { host: string; port: number })
}

/** Leaves a connection in progress for good, as when its first packet is lost. */
function keepConnecting(socket: Socket): Socket {
  const pending = socket as { connecting: boolean }
  pending.connecting = true
  return socket
}

/** Emits the events of an accepted connection in the context of its server; Node.js emits them in none. */
function bindEvents(socket: Socket): void {
  socket.emit = AsyncResource.bind(socket.emit.bind(socket)) as typeof socket.emit
}
