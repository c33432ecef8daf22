// Starts the entries and control machines of a small deployment with the commands of the deploy file, on loopback.
import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fillTemplate } from './template.mjs'
import { call, pause, waitUntil } from './tools.mjs'

const PORTS = { front: 8144, ready: 8140, control: 8146, peers: 7660, metrics: 9464 }
const ZONES = { 'col-a': 'colombo', 'col-b': 'colombo', 'col-c': 'colombo' }
const FIRST_OF_ROLE = { control: 11, entry: 31 }
/** The bounds of the site stasb-ledger. */
const BOUNDS = {
  grace_s: 8,
  retry_budget_ratio: 0.2,
  retry_slack: 54,
  budget_window_s: 10,
  lease_ms: 3000,
  drain_ms: 2000,
}

/** Returns the command of a role from the deploy file. */
function commandOf(role) {
  const deploy = readFileSync('deploy/system.toml', 'utf8')
  const run = new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(deploy)[1]
  return run.split(' ')
}

function canListen(host, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Returns the first three numbers of loopback addresses at which the ports are free. */
async function freeNetwork() {
  for (;;) {
    const network = `127.${16 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    const hosts = Object.values(FIRST_OF_ROLE).map((first) => `${network}.${first}`)
    const free = await Promise.all(
      hosts.flatMap((host) => Object.values(PORTS).map((port) => canListen(host, port))),
    )
    if (free.every(Boolean)) return network
  }
}

/** The machines of one deployment. */
export class Fleet {
  constructor({ control = 5, entries = 7, bounds = {} } = {}) {
    this.bounds = { ...BOUNDS, ...bounds }
    this.folder = mkdtempSync(join(tmpdir(), 'forkstage-review-'))
    this.counts = { control, entry: entries }
    this.running = new Map()
  }

  /** Starts all machines for the first time. */
  async start() {
    this.network = await freeNetwork()
    const zones = Object.keys(ZONES)
    this.machines = Object.entries(this.counts).flatMap(([role, count]) =>
      Array.from({ length: count }, (_, index) => ({
        name: `${role}-${index + 1}`,
        role,
        ip: `${this.network}.${FIRST_OF_ROLE[role] + index}`,
        zone: zones[index % zones.length],
      })),
    )
    for (const machine of this.machines) this.startMachine(machine, true)
  }

  get control() {
    return this.machines.filter(({ role }) => role === 'control')
  }

  get entries() {
    return this.machines.filter(({ role }) => role === 'entry')
  }

  /** Starts one machine; `isFirst` at the first start of the system. */
  startMachine(machine, isFirst = false) {
    const { name, role, ip, zone } = machine
    mkdirSync(join(this.folder, name), { recursive: true })
    const isControl = role === 'control'
    const fields = {
      node: name,
      role,
      ip,
      zone,
      zones: ZONES,
      data_dir: isControl ? join(this.folder, name) : null,
      listen: isControl
        ? { control: `${ip}:${PORTS.control}` }
        : { front: `${ip}:${PORTS.front}`, ready: `${ip}:${PORTS.ready}` },
      internal_ports: [PORTS.peers, PORTS.peers + 15],
      seeds: this.control.slice(0, 3).map((one) => `${one.ip}:${PORTS.control}`),
      bootstrap: isFirst,
      tolerate: { machines: Math.floor((this.counts.control - 1) / 2), zones: 0, regions: 0 },
      bounds: this.bounds,
    }
    const settings = join(this.folder, `${name}.toml`)
    writeFileSync(settings, fillTemplate(readFileSync('deploy/settings.toml', 'utf8'), fields))
    const log = openSync(join(this.folder, `${name}.log`), 'a')
    const [program, ...words] = commandOf(role)
    const child = spawn(program, words, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, FORKSTAGE_CONFIG: settings },
      stdio: ['ignore', log, log],
    })
    const exited = new Promise((resolve) => child.once('exit', (code, signal) => resolve(code ?? signal)))
    this.running.set(name, { child, exited })
  }

  signal(machine, signal) {
    this.running.get(machine.name).child.kill(signal)
  }

  /** Ends a machine by a signal and waits for its end. */
  async end(machine, signal) {
    this.signal(machine, signal)
    return this.running.get(machine.name).exited
  }

  controlUrls() {
    return this.control.map(({ ip }) => ({ host: ip, port: PORTS.control }))
  }

  callersOf({ ip }) {
    return { host: ip, port: PORTS.front }
  }

  /** Sends a configuration until a control machine has acknowledged it. */
  async configure(config) {
    const body = JSON.stringify(config)
    await waitUntil('a configuration to be acknowledged', 30_000, async () => {
      for (const to of this.controlUrls()) {
        const answer = await call({ ...to, method: 'PUT', path: '/config', body, timeoutMs: 3_000 })
        if (answer?.status === 200) return true
      }
      return false
    })
  }

  /** Waits until every entry says that it is ready. */
  async waitReady() {
    for (const { name, ip } of this.entries)
      await waitUntil(`${name} to be ready`, 30_000, async () => {
        const answer = await call({ host: ip, port: PORTS.ready, path: '/readiness', timeoutMs: 1_000 })
        return answer?.status === 200
      })
  }

  /** Returns one figure of a machine, as it tells it at its metrics address. */
  async metric({ ip }, pattern) {
    const answer = await call({ host: ip, port: PORTS.metrics, path: '/metrics', timeoutMs: 1_000 })
    const line = answer?.body.split('\n').find((one) => !one.startsWith('#') && pattern.test(one))
    return line === undefined ? undefined : Number(line.split(' ').at(-1))
  }

  /** Ends every process and removes the folder. */
  async stop() {
    for (const { child, exited } of this.running.values()) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await Promise.race([exited, pause(2_000)])
    }
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
  }
}
