import { connect, createServer, type Server, type Socket } from 'node:net'

/** A connection through the proxy. */
interface ProxiedConnection {
  inbound: Socket
  outbound: Socket
}

/** Options of {@link startCutProxy}. */
export interface CutProxyOptions {
  listen: { host: string; port: number }
  target: { host: string; port: number }
}

/**
 * A TCP proxy in front of one box's peer listener that can drop its traffic. Like a network that loses packets, it keeps a
 * cut connection open and silent. Callers are identified by their IP address.
 */
export interface CutProxy {
  /** Drops all bytes of connections from these IP addresses; an empty list restores all of them. */
  cut(hosts: string[]): void
  /** Drops all bytes to and from this box while `cut` is true. */
  cutAll(cut: boolean): void
  /** Bytes received since the start, dropped ones included, by the caller's IP address. */
  traffic(): Map<string, Traffic>
  close(): Promise<void>
}

/** Bytes between one caller and the box behind the proxy. */
export interface Traffic {
  toBox: number
  fromBox: number
}

/** Starts a proxy and returns it once it listens. */
export async function startCutProxy({ listen, target }: CutProxyOptions): Promise<CutProxy> {
  const connections = new Set<ProxiedConnection>()
  let cutHosts: string[] = []
  let isCutOff = false
  const counted = new Map<string, Traffic>()
  const countsOf = (host: string): Traffic => {
    const counts = counted.get(host) ?? { toBox: 0, fromBox: 0 }
    counted.set(host, counts)
    return counts
  }
  const isCut = (socket: Socket) => isCutOff || cutHosts.includes(socket.remoteAddress ?? '')
  const server: Server = createServer((inbound) => {
    const outbound = connect(target)
    const connection = { inbound, outbound }
    connections.add(connection)
    const counts = countsOf(inbound.remoteAddress ?? '')
    inbound.on('data', (chunk) => {
      counts.toBox += chunk.length
      if (!isCut(inbound)) outbound.write(chunk)
    })
    outbound.on('data', (chunk) => {
      counts.fromBox += chunk.length
      if (!isCut(inbound)) inbound.write(chunk)
    })
    const close = () => {
      connections.delete(connection)
      inbound.destroy()
      outbound.destroy()
    }
    for (const socket of [inbound, outbound]) socket.on('error', close).on('close', close)
  })
  await new Promise<void>((resolve) => server.listen(listen.port, listen.host, resolve))
  /** Closes the cut connections when traffic is restored, since their streams have lost bytes. */
  const closeCutConnections = () => {
    for (const connection of connections) if (isCut(connection.inbound)) connection.inbound.destroy()
  }
  return {
    cut(hosts) {
      closeCutConnections()
      cutHosts = hosts
    },
    cutAll(cut) {
      if (!cut) closeCutConnections()
      isCutOff = cut
    },
    traffic: () => counted,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve())
        for (const connection of connections) connection.inbound.destroy()
      }),
  }
}
