import { createServer, type Server } from 'node:net'

/** Ports of one range; the last one is bound to claim the range. */
const PORTS_PER_CLAIM = 700
/** All ranges end below the ephemeral ports of the system. */
const FIRST_PORT = 10_000
const CLAIM_COUNT = 31

/** Claims of this process, released by the system when the process ends. */
const claimed: Server[] = []

/**
 * Claims a range of ports for one deployment, so that concurrent runs never share a port. A process claims a range by
 * listening on its last port.
 * @param random chooses the range to try first.
 * @returns the first port of the range.
 * @throws when all ranges are claimed.
 */
export async function claimPorts(random: () => number = Math.random): Promise<number> {
  const first = Math.floor(random() * CLAIM_COUNT)
  for (let turn = 0; turn < CLAIM_COUNT; turn += 1) {
    const base = FIRST_PORT + ((first + turn) % CLAIM_COUNT) * PORTS_PER_CLAIM
    const server = await listen(base + PORTS_PER_CLAIM - 1)
    if (server === undefined) continue
    claimed.push(server)
    return base
  }
  throw new Error(`all ${CLAIM_COUNT} port ranges are in use by other runs`)
}

function listen(port: number): Promise<Server | undefined> {
  const server = createServer()
  server.unref()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen({ port, host: '127.0.0.1', exclusive: true }, () => resolve(server))
  })
}
