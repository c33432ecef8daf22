import { connect, createServer, type Server, type Socket } from 'node:net'

/** A connection through the proxy. */
interface Pair {
  inbound: Socket
  outbound: Socket
}

/** Options of {@link startCutProxy}. */
export interface CutProxyOptions {
  listen: { host: string; port: number }
  target: { host: string; port: number }
}

/**
 * Forwards one box's peer traffic and cuts it on command: a cut connection stays open and silent, as
 * when a network swallows packets. Who calls is told by the caller's IP number.
 */
export interface CutProxy {
  /** Swallows everything from these IP numbers; an empty list heals. */
  cut(hosts: string[]): void
  /** Swallows everything from and to this box. */
  cutAll(cut: boolean): void
  /** Bytes that have passed since the start, by the caller's IP number. */
  traffic(): Map<string, Traffic>
  close(): Promise<void>
}

/** Bytes between one caller and the box behind the proxy. */
export interface Traffic {
  toBox: number
  fromBox: number
}

export async function startCutProxy({ listen, target }: CutProxyOptions): Promise<CutProxy> {
  const pairs = new Set<Pair>()
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
    const pair = { inbound, outbound }
    pairs.add(pair)
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
      pairs.delete(pair)
      inbound.destroy()
      outbound.destroy()
    }
    for (const socket of [inbound, outbound]) socket.on('error', close).on('close', close)
  })
  await new Promise<void>((resolve) => server.listen(listen.port, listen.host, resolve))
  /** A stream with a hole in it is useless: what was cut is closed when the cut heals. */
  const dropCutPairs = () => {
    for (const pair of pairs) if (isCut(pair.inbound)) pair.inbound.destroy()
  }
  return {
    cut(hosts) {
      dropCutPairs()
      cutHosts = hosts
    },
    cutAll(cut) {
      if (!cut) dropCutPairs()
      isCutOff = cut
    },
    traffic: () => counted,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve())
        for (const pair of pairs) pair.inbound.destroy()
      }),
  }
}
