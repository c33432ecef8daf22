import { createServer, type Server } from 'node:net'

/** Ports that a deployment uses, with the one by which they are claimed. */
const PORTS_PER_CLAIM = 700
/** Below those that the system gives to connections. */
const FIRST_PORT = 10_000
const CLAIM_COUNT = 31

/** Claims of this process; they are given back when it ends. */
const claimed: Server[] = []

/**
 * Claims ports for one deployment, so that none of another run answers it: whoever listens at the last of them has them all.
 * @returns the first of them.
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
  throw new Error(`all ${CLAIM_COUNT} ranges of ports are in use by other runs`)
}

function listen(port: number): Promise<Server | undefined> {
  const server = createServer()
  server.unref()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen({ port, host: '127.0.0.1', exclusive: true }, () => resolve(server))
  })
}
