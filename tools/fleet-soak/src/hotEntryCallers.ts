import { request as httpRequest } from 'node:http'
import type { Random } from '@forkstage/clock'
import type { SoakMachine } from './machineSettings'
import { pause } from './pause'
import { PATHS } from './soakCallers'
import type { SoakFleet } from './soakFleet'

/** How one attempt ended. `unread`: its connection was refused, or closed before the request was read. */
export type AttemptEnd = 'served' | 'refused' | 'failed' | 'unread' | 'timeout'

/** One attempt of a request. */
export interface Attempt {
  entry: string
  end: AttemptEnd
  tookMs: number
}

/** A request over the attempts of its caller. */
export interface HotCall {
  kind: 'plain' | 'stream'
  /** Unix milliseconds. */
  startedAt: number
  attempts: Attempt[]
}

/** Options of {@link HotEntryCallers}. */
export interface HotEntryCallersOptions {
  fleet: SoakFleet
  random: Random
  hot: SoakMachine
  /** Returns whether an endpoint got a request. */
  hasArrived: (id: string) => boolean
}

const STREAM_SHARE = 0.16
const PROMPT = 'p'.repeat(5_000)
const DEADLINE_MS = 1_500
/** A caller gives up a connection whose request has not been answered for so long. */
const TARGET_MS = 800
const MAX_ATTEMPTS = 3
const SECOND_MS = 1_000
const OK = 200
const UNAVAILABLE = 503
/** Share of new connections that the balancer hands to the hot entry. */
const HOT_SHARE = 0.9

/** Callers that open a connection for each request, most of them to one entry, and retry at the others. */
export class HotEntryCallers {
  readonly calls: HotCall[] = []
  private count = 0

  constructor(private readonly options: HotEntryCallersOptions) {}

  /** Sends requests at a rate for a while, `isHot` most of them to the hot entry. Resolves once all have ended. */
  async press(perSecond: number, forMs: number, isHot: boolean): Promise<HotCall[]> {
    const startedAt = performance.now()
    const pending: Promise<HotCall>[] = []
    for (let sent = 0; sent < (perSecond * forMs) / SECOND_MS; sent += 1) {
      await pause(startedAt + (sent * SECOND_MS) / perSecond - performance.now())
      pending.push(this.call(isHot))
    }
    return Promise.all(pending)
  }

  private async call(isHot: boolean): Promise<HotCall> {
    const kind = this.options.random() < STREAM_SHARE ? 'stream' : 'plain'
    const call: HotCall = { kind, startedAt: Date.now(), attempts: [] }
    this.calls.push(call)
    const endsAt = Date.now() + DEADLINE_MS
    for (let count = 0; count < MAX_ATTEMPTS && Date.now() < endsAt; count += 1) {
      const entry = this.drawEntry(isHot, call)
      const { attempt, retryAfterMs } = await this.attempt(kind, entry, endsAt)
      call.attempts.push(attempt)
      if (attempt.end !== 'unread' && attempt.end !== 'refused') return call
      await pause(Math.min(retryAfterMs, (endsAt - Date.now()) / 3))
    }
    return call
  }

  /** A retry meets another entry. */
  private drawEntry(isHot: boolean, { attempts }: HotCall): SoakMachine {
    const { fleet, hot, random } = this.options
    if (isHot && attempts.length === 0 && random() < HOT_SHARE) return hot
    const others = fleet.entries.filter(
      (one) => !attempts.some(({ entry }) => entry === one.name) && (!isHot || one !== hot),
    )
    const known = others.length > 0 ? others : fleet.entries
    return known[Math.floor(random() * known.length)]!
  }

  private attempt(
    kind: HotCall['kind'],
    entry: SoakMachine,
    endsAt: number,
  ): Promise<{ attempt: Attempt; retryAfterMs: number }> {
    const startedAt = Date.now()
    this.count += 1
    const id = `h${this.count}`
    const body = kind === 'stream' ? PROMPT : ''
    return new Promise((resolve) => {
      let isEnded = false
      const finish = (end: AttemptEnd, retryAfterMs = 0) => {
        if (isEnded) return
        isEnded = true
        clearTimeout(limit)
        resolve({ attempt: { entry: entry.name, end, tookMs: Date.now() - startedAt }, retryAfterMs })
      }
      const path = kind === 'stream' ? PATHS.stream : PATHS.safe
      const request = httpRequest(`${this.options.fleet.callers(entry)}${path}${id}`, {
        method: kind === 'stream' ? 'POST' : 'GET',
        agent: false,
        headers: {
          host: 'soak.example',
          'X-Forkstage-Request-Id': id,
          'X-Forkstage-Deadline-Ms': String(Math.max(1, endsAt - startedAt)),
          'X-Forkstage-Token-Counts': '100,100',
          'X-Forkstage-Model': 'm',
          'X-Forkstage-Prompt-Prefix': `5a:20,own-${id}:80`,
          'X-Api-Key': 'key-steady',
          ...(body !== '' && { 'Content-Length': body.length }),
        },
      })
      const limit = setTimeout(() => {
        request.destroy()
        finish('timeout')
      }, endsAt - startedAt)
      const fail = () => finish(this.options.hasArrived(id) ? 'failed' : 'unread')
      request.on('error', fail)
      request.on('response', (response) => {
        const isGood = response.statusCode === OK
        const retryAfterMs = Number(response.headers['retry-after'] ?? 0) * SECOND_MS
        response.on('error', () => finish('failed'))
        response.on('close', () => finish('failed'))
        response.resume().on('end', () => {
          if (!response.complete) return finish('failed')
          if (isGood) return finish(Date.now() - startedAt <= TARGET_MS ? 'served' : 'timeout')
          finish(response.statusCode === UNAVAILABLE ? 'refused' : 'failed', retryAfterMs)
        })
      })
      request.end(body)
    })
  }
}
