// Clients that send at a steady pace, and the check of RECOVER over all of their attempts.
import { randomBytes } from 'node:crypto'
import { call, sleep } from './platform.mjs'

const DEADLINE_MS = 14_000
const DOWN_MS = 700
const RECOVER_MS = 12_000
const JUDGED_MS = 15_000
/** Longer than the answers of the last requests take. */
const LAST_ANSWERS_MS = 1_500

/** Limits of a configuration, as in the pages' example. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
}

/** A plain service of a configuration. */
export const plainService = (name) => ({
  ...{ name, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false },
})

/** A route of a configuration, to the service of its name. */
export function routeTo(name, fields) {
  const route = { name, host: `${name}.example`, path_prefix: `/${name}/`, service: name }
  return { ...route, timeout_ms: DEADLINE_MS, target_latency_ms: 900, priority: 1, ...fields }
}

/** The clients of a deployment. */
export class Traffic {
  #attempts = []
  #isSending = true

  constructor({ platform, log }) {
    Object.assign(this, { platform, log })
  }

  stop() {
    this.#isSending = false
  }

  /**
   * Sends requests of one kind until {@link stop}. `method` and `path` are the same for all; `headersOf` returns headers for
   * each.
   */
  async send(name, { everyMs, method = 'GET', path = `/${name}/a`, body, headersOf = () => ({}) }) {
    const startedAt = Date.now()
    for (let turn = 0; this.#isSending; turn += 1) {
      void this.#ask(turn, { name, method, path, body, headers: headersOf() })
      await sleep(Math.max(0, startedAt + (turn + 1) * everyMs - Date.now()))
    }
  }

  /** Sends a request; one that is refused is sent once more after the time that the pages say. */
  async #ask(turn, { name, method, path, body, headers }) {
    const { entries, frontOf } = this.platform
    const endsAt = Date.now() + DEADLINE_MS
    for (let tries = 0; tries < 2 && this.#isSending; tries += 1) {
      const id = randomBytes(8).toString('hex')
      const leftMs = endsAt - Date.now()
      const attempt = { at: Date.now(), status: 0 }
      this.#attempts.push(attempt)
      const own = { Host: `${name}.example`, 'X-Forkstage-Request-Id': id, 'X-Forkstage-Deadline-Ms': leftMs }
      const options = { headers: { ...own, ...headers }, body, timeoutMs: leftMs }
      this.log(`${name} ${id} is sent`)
      const got = await call(frontOf(entries[(turn + tries) % entries.length]), method, path, options)
      attempt.status = got.status
      const wait = got.headers?.['retry-after']
      const why = wait === undefined ? '' : ` retry-after ${wait} ${got.body}`
      this.log(`${name} ${id} gets ${got.status}${why}`)
      if (got.status !== 503) return
      await sleep(Math.min(Number(wait ?? 0) * 1_000, (endsAt - Date.now()) / 3))
    }
  }

  /** How many of the requests sent between two times were served. */
  #count(from, to) {
    const sent = this.#attempts.filter(({ at }) => at >= from && at < to)
    return { sent: sent.length, served: sent.filter(({ status }) => status === 200).length }
  }

  /**
   * The final fault: right after a configuration was acknowledged, all processes of the system are killed, and are back
   * soon. Returns how RECOVER was broken, or undefined.
   */
  async judgeFinalFault(config) {
    const { platform, log } = this
    await platform.configure(config)
    const faultAt = Date.now()
    log('final fault: all processes of the system are killed')
    for (const one of platform.machines) platform.signal(one, 'SIGKILL')
    await sleep(DOWN_MS)
    for (const one of platform.machines) platform.startOne(one)
    const backAt = Date.now()
    log('all machines are back')
    await sleep(RECOVER_MS + JUDGED_MS + LAST_ANSWERS_MS)
    this.stop()
    const before = this.#count(0, faultAt)
    const after = this.#count(backAt + RECOVER_MS, backAt + RECOVER_MS + JUDGED_MS)
    log(`before the final fault ${before.served} of ${before.sent} requests were served`)
    log(`later than recover_s after it ${after.served} of ${after.sent} requests were served`)
    if (before.served * 4 < before.sent) throw new Error('too few were served before the final fault')
    if (after.served * 4 >= after.sent) return undefined
    return `RECOVER: ${after.served} of ${after.sent} served later than recover_s after the machines were back`
  }
}
