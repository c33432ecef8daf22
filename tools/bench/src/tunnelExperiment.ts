import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { createSystemClock } from '@forkstage/clock'
import { printTable } from '@forkstage/cli'
import { openExchange } from '@forkstage/gateway'
import { createSilentLogger } from '@forkstage/logger'
import { tunnelThrough, type Dial } from '@forkstage/paths'
import { PeerClient, startPeerServer } from '@forkstage/peer-rpc'
import { TunnelServer } from '@forkstage/tunnel'
import { percentiles, round } from './summarise'

const ANSWERS = 4_000
const AT_ONCE = 16
const EVENTS = 70
const EVENT = Buffer.alloc(120, 'x')
const BOX = '127.31.7.1:27311'
const CREDENTIALS = { box: 'bench', sharedKey: 'a key for the bench of tunnels' }
const TIMEOUT_MS = 5_000

const clock = createSystemClock()

/** Measures answers of many small parts, read directly and through another box; all parts run in this process. */
export async function runTunnelExperiment(): Promise<void> {
  const endpoint = await startEndpoint()
  const address = `127.0.0.1:${(endpoint.address() as AddressInfo).port}`
  const tunnels = new TunnelServer({
    isRegistered: () => true,
    connect: connectTo,
    isClosed: () => false,
    clock,
  })
  const logger = createSilentLogger()
  let carried: Socket[] = []
  const box = await startPeerServer({
    address: BOX,
    sharedKey: CREDENTIALS.sharedKey,
    methods: tunnels.methods(),
    onJoin: (ticket, socket) => {
      carried.push(socket)
      tunnels.join(ticket, socket)
    },
    logger,
  })
  const peers = new PeerClient({ credentials: CREDENTIALS, clock, logger })
  const dial = (): Dial =>
    tunnelThrough(BOX, address, TIMEOUT_MS, { peers, credentials: CREDENTIALS, clock }) as Dial
  const rows: (string | number)[][] = []
  for (const [name, through] of [
    ['warm-up', dial],
    ['direct', undefined],
    ['carried', dial],
  ] as const) {
    carried = []
    const { firstMs, cpuUs } = await measure(address, through)
    const bytes = carried.reduce((sum, socket) => sum + socket.bytesWritten, 0)
    const { p50, p95 } = percentiles(firstMs)
    rows.push([name, ANSWERS, round(cpuUs, 1), round(p50, 2), round(p95, 2), round(bytes / ANSWERS, 1)])
  }
  printTable(['answers', 'count', 'cpu us each', 'first p50 ms', 'first p95 ms', 'bytes carried each'], rows)
  peers.close()
  await box.close()
  endpoint.close()
}

async function startEndpoint(): Promise<Server> {
  const server = createServer((_request: IncomingMessage, response: ServerResponse) => {
    response.writeHead(200, { 'Content-Length': EVENTS * EVENT.length, Connection: 'close' })
    let sent = 0
    const send = () => {
      response.write(EVENT)
      sent += 1
      if (sent < EVENTS) setImmediate(send)
      else response.end()
    }
    send()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return server
}

function connectTo(address: string): Promise<Socket> {
  const [host, port] = address.split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
  return new Promise((resolve, reject) => socket.once('connect', () => resolve(socket)).once('error', reject))
}

async function measure(address: string, dial?: () => Dial): Promise<{ firstMs: number[]; cpuUs: number }> {
  const firstMs: number[] = []
  let started = 0
  const { user, system } = process.cpuUsage()
  const runOne = async (): Promise<void> => {
    while (started < ANSWERS) {
      started += 1
      firstMs.push(await readAnswer(address, dial))
    }
  }
  await Promise.all(Array.from({ length: AT_ONCE }, runOne))
  const used = process.cpuUsage({ user, system })
  return { firstMs, cpuUs: (used.user + used.system) / ANSWERS }
}

/** Resolves to the milliseconds until the first bytes of an answer. */
function readAnswer(address: string, dial?: () => Dial): Promise<number> {
  const startedAt = performance.now()
  let firstMs: number | undefined
  return new Promise((resolve, reject) => {
    openExchange({
      address,
      method: 'GET',
      path: '/',
      rawHeaders: ['Host', 'bench', 'Connection', 'close'],
      body: Buffer.alloc(0),
      connectMs: TIMEOUT_MS,
      dial,
      clock,
      onHead: () => undefined,
      onData: () => (firstMs ??= performance.now() - startedAt),
      onEnd: (end) => (end.complete ? resolve(firstMs ?? NaN) : reject(new Error(end.reason))),
    })
  })
}
