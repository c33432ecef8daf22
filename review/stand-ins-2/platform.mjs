// A small stand-in of the platform: gives each process a loopback address and settings, and starts it as deploy/system.toml says.
import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { fillTemplate } from './template.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const PORTS = { front: 8144, ready: 8140, control: 8146, internal: 7660 }
const ZONES = { 'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-1' }

/** Bounds of a small deployment, as its page gives them. */
const BOUNDS = {
  ...{ seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000 },
  ...{ grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000 },
  ...{ retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 56, recover_s: 12, transit_ms: 120 },
  ...{ again_s: 3.3, fencing_required: true, lease_ms: 3000, thaw_ms: 300 },
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Waits until a condition holds; fails after `ms`. */
export async function until(what, condition, ms = 20_000) {
  for (const endsAt = Date.now() + ms; Date.now() < endsAt; await sleep(40)) if (await condition()) return
  throw new Error(`not in time: ${what}`)
}

/** Sends one HTTP request; resolves to its status and body, or to status 0 if there is no whole answer. */
export function call(address, method, path, { body, headers = {}, timeoutMs = 1_000 } = {}) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const options = { host, port, method, path, headers, agent: false, timeout: timeoutMs }
    const sent = request(options, (answer) => {
      const parts = []
      answer.on('data', (part) => parts.push(part))
      answer.on('error', () => resolve({ status: 0, body: '' }))
      answer.on('end', () =>
        resolve({
          status: answer.statusCode,
          body: Buffer.concat(parts).toString(),
          headers: answer.headers,
        }),
      )
    })
    sent.on('timeout', () => sent.destroy())
    sent.on('error', () => resolve({ status: 0, body: '' }))
    sent.end(body)
  })
}

/** The machines of one small deployment. */
export class Platform {
  #processes = []
  #log

  constructor({ log }) {
    this.#log = log
    this.folder = mkdtempSync(join(tmpdir(), 'forkstage-review-'))
    // An address range of its own, so that several runs do not meet.
    this.net = `127.${100 + (process.pid % 100)}.${1 + Math.floor(Math.random() * 250)}`
    const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    this.commands = Object.fromEntries(
      ['entry', 'control'].map((role) => [
        role,
        new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)[1],
      ]),
    )
    this.template = readFileSync(join(ROOT, 'deploy/settings.toml'), 'utf8')
  }

  /** Starts control machines and entries, and waits until the entries are there. */
  async start({ controls = 3, entries = 1, losses = 1 }) {
    const zones = Object.keys(ZONES)
    const places = [...Array(controls).fill('control'), ...Array(entries).fill('entry')]
    this.machines = places.map((role, index) => ({
      ...{ role, index, zone: zones[index % zones.length], ip: `${this.net}.${10 + index}` },
      name: `${role}-${index}`,
    }))
    this.controls = this.machines.filter(({ role }) => role === 'control')
    this.entries = this.machines.filter(({ role }) => role === 'entry')
    for (const one of this.machines) this.startOne(one, { bootstrap: true, losses })
    this.losses = losses
  }

  /** Starts the process of one machine; its disk is kept from an earlier start. */
  startOne(machine, { bootstrap = false, losses = this.losses } = {}) {
    const { role, ip, name, zone } = machine
    const home = join(this.folder, name)
    mkdirSync(join(home, 'data'), { recursive: true })
    const serves = role === 'entry' ? ['front', 'ready'] : ['control']
    const fields = {
      ...{ node: name, role, ip, zone, zones: ZONES, bootstrap, bounds: BOUNDS },
      listen: Object.fromEntries(serves.map((one) => [one, `${ip}:${PORTS[one]}`])),
      internal_ports: [PORTS.internal, PORTS.internal + 15],
      seeds: this.controls.slice(0, 3).map((one) => `${one.ip}:${PORTS.control}`),
      data_dir: role === 'control' ? join(home, 'data') : null,
      tolerate: { machines: losses, zones: 0, regions: 0 },
    }
    const settings = join(home, 'settings.toml')
    writeFileSync(settings, fillTemplate(this.template, fields))
    const [program, ...args] = this.commands[role].split(' ')
    const { PATH, HOME, LANG } = process.env
    const env = { PATH, HOME, LANG, FORKSTAGE_CONFIG: settings }
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    const keep = (part) => (output = (output + part).slice(-400_000))
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    machine.child = child
    machine.output = () => output
    machine.ended = new Promise((resolve) => child.on('exit', (code, signal) => resolve({ code, signal })))
    this.#processes.push(machine)
    this.#log(`${name} starts at ${ip}`)
  }

  frontOf = ({ ip }) => `${ip}:${PORTS.front}`
  readyOf = ({ ip }) => `${ip}:${PORTS.ready}`
  controlOf = ({ ip }) => `${ip}:${PORTS.control}`

  async isReady(entry) {
    return (await call(this.readyOf(entry), 'GET', '/readiness')).status === 200
  }

  /** Sends a signal to the process of a machine. */
  signal(machine, name) {
    this.#log(`${machine.name} gets ${name}`)
    machine.child.kill(name)
  }

  /** Sends a configuration until it is acknowledged, to one control machine after the other. */
  async configure(config) {
    const body = JSON.stringify(config)
    const headers = { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }
    let turn = 0
    await until(`configuration ${config.version}`, async () => {
      const at = this.controls[turn++ % this.controls.length]
      const { status } = await call(this.controlOf(at), 'PUT', '/config', { body, headers })
      if (status === 200) this.#log(`configuration ${config.version} acknowledged by ${at.name}`)
      return status === 200
    })
  }

  /** Ends every process that was started, and removes the temporary folder. */
  async end() {
    for (const { child } of this.#processes) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all(this.#processes.map(({ ended }) => ended))
    const { REVIEW_LOGS } = process.env
    for (const { name, output } of this.machines ?? [])
      if (REVIEW_LOGS) writeFileSync(join(REVIEW_LOGS, `${name}.log`), output())
    rmSync(this.folder, { recursive: true, force: true })
  }
}
