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
  close(): Promise<void>
}

export async function startCutProxy({ listen, target }: CutProxyOptions): Promise<CutProxy> {
  const pairs = new Set<Pair>()
  let cutHosts: string[] = []
  let isCutOff = false
  const isCut = (socket: Socket) => isCutOff || cutHosts.includes(socket.remoteAddress ?? '')
  const server: Server = createServer((inbound) => {
    const outbound = connect(target)
    const pair = { inbound, outbound }
    pairs.add(pair)
    inbound.on('data', (chunk) => void (isCut(inbound) || outbound.write(chunk)))
    outbound.on('data', (chunk) => void (isCut(inbound) || inbound.write(chunk)))
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
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve())
        for (const pair of pairs) pair.inbound.destroy()
      }),
  }
}
