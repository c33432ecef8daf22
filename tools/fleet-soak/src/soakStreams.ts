import { request as httpRequest } from 'node:http'
import type { Random } from '@forkstage/clock'
import type { SoakMachine } from './machineSettings'
import { pause } from './pause'
import { PATHS } from './soakCallers'
import type { SoakFleet } from './soakFleet'
import { STREAM_EVENTS } from './versionedEngine'

/** One attempt of a caller to get a stream, or the rest of it. */
export interface StreamAttempt {
  id: string
  entry: string
  /** Unix milliseconds. */
  startedAt: number
  /** 0 when no answer began. */
  status: number
  /** The id of the last event that the caller had before; undefined for a new stream. */
  after?: number
  /** The events of the attempt in order of their arrival, each with its id and software version. */
  events: { id: number; version: string }[]
  retryAfterMs: number
  /** Whether the caller itself broke the attempt off. */
  isLeft: boolean
}

/** A stream over the attempts of its caller. */
export interface SoakStream {
  attempts: StreamAttempt[]
}

interface SendOptions {
  /** The last segment of the path. */
  streamName: string
  /** The attempt that brought the first event. */
  root?: string
  /** When the caller's time is up, in Unix milliseconds. */
  endsAt: number
  /** The number of events after which the caller breaks off. */
  leavesAfter?: number
}

const DEADLINE_MS = 8_000
const MAX_ATTEMPTS = 5
/** A caller breaks off so many attempts of one stream at most. */
const MAX_LEFT = 2
const LEAVE_SHARE = 0.5
const MIN_RETURN_MS = 20
const MAX_RETURN_MS = 300
const MAX_RETRY_AFTER_MS = 1_000
const KEY = 'key-steady'

/** Callers that begin streams at random entries, break some of them off and resume them elsewhere. */
export class SoakStreams {
  readonly streams: SoakStream[] = []

  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
  ) {}

  /** Gets one stream, in as many attempts as it takes. */
  async call(): Promise<void> {
    const stream: SoakStream = { attempts: [] }
    const number = this.streams.push(stream)
    const endsAt = Date.now() + DEADLINE_MS
    let left = 0
    for (let count = 1; count <= MAX_ATTEMPTS && Date.now() < endsAt; count += 1) {
      const leavesAfter = left < MAX_LEFT && this.random() < LEAVE_SHARE ? this.drawEvents() : undefined
      const attempt = await this.attempt(stream, `s${number}-${count}`, { endsAt, leavesAfter })
      if (attempt.isLeft) left += 1
      if (lastEventOf(stream) === STREAM_EVENTS) return
      const waitMs = attempt.retryAfterMs || MIN_RETURN_MS + this.random() * (MAX_RETURN_MS - MIN_RETURN_MS)
      await pause(Math.min(waitMs, MAX_RETRY_AFTER_MS))
    }
  }

  private drawEvents(): number {
    return 1 + Math.floor(this.random() * (STREAM_EVENTS / 2))
  }

  private attempt(
    stream: SoakStream,
    id: string,
    { endsAt, leavesAfter }: { endsAt: number; leavesAfter?: number },
  ): Promise<StreamAttempt> {
    const entry = this.fleet.entries[Math.floor(this.random() * this.fleet.entries.length)]!
    const root = stream.attempts.find(({ events }) => events.length > 0)
    const after = root === undefined ? undefined : lastEventOf(stream)
    const blank = { status: 0, events: [], retryAfterMs: 0, isLeft: false }
    const attempt: StreamAttempt = { id, entry: entry.name, startedAt: Date.now(), after, ...blank }
    stream.attempts.push(attempt)
    // A content of its own: crashes of engines under one stream must not count against the others.
    const streamName = stream.attempts[0]!.id
    return this.send(entry, attempt, { streamName, root: root?.id, endsAt, leavesAfter })
  }

  private send(
    entry: SoakMachine,
    attempt: StreamAttempt,
    { streamName, root, endsAt, leavesAfter }: SendOptions,
  ): Promise<StreamAttempt> {
    return new Promise((resolve) => {
      const request = httpRequest(`${this.fleet.callers(entry)}${PATHS.versions}${streamName}`, {
        method: 'POST',
        agent: false,
        headers: {
          host: 'soak.example',
          'X-Forkstage-Request-Id': attempt.id,
          'X-Forkstage-Deadline-Ms': String(Math.max(1, endsAt - Date.now())),
          'X-Forkstage-Token-Counts': '50,60',
          'X-Forkstage-Model': 'm',
          'X-Api-Key': KEY,
          ...(root !== undefined && { Resumes: root, 'Last-Event-Id': String(attempt.after) }),
        },
      })
      const limit = setTimeout(() => request.destroy(), Math.max(0, endsAt - Date.now()))
      const finish = () => {
        clearTimeout(limit)
        resolve(attempt)
      }
      request.on('error', finish)
      request.on('close', finish)
      request.on('response', (response) => {
        attempt.status = response.statusCode!
        attempt.retryAfterMs = Number(response.headers['retry-after'] ?? 0) * 1_000
        let text = ''
        response.on('error', finish)
        response.on('data', (bytes: Buffer) => {
          text += bytes.toString()
          const complete = text.lastIndexOf('\n\n') + 2
          attempt.events.push(...readEvents(text.slice(0, complete)))
          text = text.slice(complete)
          if (leavesAfter === undefined || attempt.events.length < leavesAfter) return
          attempt.isLeft = true
          request.destroy()
        })
      })
      request.end()
    })
  }
}

/** Returns the id of the last event that the caller of a stream has; 0 before the first. */
export function lastEventOf({ attempts }: SoakStream): number {
  return attempts.flatMap(({ events }) => events).at(-1)?.id ?? 0
}

function readEvents(text: string): { id: number; version: string }[] {
  return [...text.matchAll(/id: (\d+)\ndata: (\S+)\n\n/g)].map(([, id, version]) => ({
    id: Number(id),
    version: version!,
  }))
}
