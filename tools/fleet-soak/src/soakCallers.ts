import { request as httpRequest, type IncomingMessage } from 'node:http'
import type { Random } from '@forkstage/clock'
import { POISON_PART } from './checkPoisonPart'
import { POISON_PREFIX } from './checkPoisonRequest'
import type { SoakMachine } from './machineSettings'
import type { SoakFleet } from './soakFleet'
import { drawKey, type SoakKey } from './soakWorkspaces'

/** Path prefixes of the soak's routes. */
export const PATHS = {
  unsafe: '/unsafe/',
  safe: '/safe/',
  stream: '/stream/',
  /** Streams of several seconds that may be resumed by another run. */
  long: '/long/',
  /** Streams of several seconds that must not run twice. */
  once: '/once/',
  /** Large answers that callers read slowly. */
  large: '/large/',
  /** Streams of engines of two software versions, which callers resume. */
  versions: '/versions/',
} as const

/** Kinds drawn for regular calls; large answers are called at a lower rate. */
const DRAWN_KINDS = ['unsafe', 'safe', 'stream', 'long', 'once'] as const

/** One request of a caller and its answer. */
export interface CallRecord {
  id: string
  kind: keyof typeof PATHS
  /** 0 when no answer began. */
  status: number
  body: string
  /** Whether the answer is complete. */
  isWhole: boolean
  stamp: string
  /** Name of the entry that received the request. */
  entry: string
  /** Unix milliseconds. */
  startedAt: number
  endedAt: number
  deadlineMs: number
}

const DEADLINE_MS = 3_000
const LONG_DEADLINE_MS = 8_000
/** How long a slow caller stops reading in the middle of its answer. */
const SLOW_READ_PAUSE_MS = 700
const SLOW_SHARE = 0.2
const STEADY_KEY = 'key-steady'
const HOST = 'soak.example'
/** Prompt parts that all regular calls share. */
const SYSTEM_PROMPT = '5a'
const DOCUMENT = 'd0'

/** Callers that send requests to random entries, each request under a new id. */
export class SoakCallers {
  private poisonCalls = 0
  readonly calls: CallRecord[] = []
  /** Key that the caller sent, by request id. */
  readonly keys = new Map<string, SoakKey>()
  private count = 0

  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
    /** Returns the newest sheet version that was acknowledged. */
    private readonly version: () => number,
    /** Share of the callers that stop reading for a while. */
    private readonly slowShare = SLOW_SHARE,
  ) {}

  /** Sends one request of a random kind to a random entry. */
  async call(): Promise<void> {
    const kinds = DRAWN_KINDS
    await this.callOf(kinds[Math.floor(this.random() * kinds.length)]!)
  }

  /** Sends one request whose answer its caller reads slowly. */
  callLarge(): Promise<void> {
    return this.callOf('large')
  }

  private async callOf(kind: CallRecord['kind']): Promise<void> {
    const entry = this.fleet.entries[Math.floor(this.random() * this.fleet.entries.length)]!
    const record = this.newRecord(kind)
    this.calls.push(record)
    const shown = drawKey(this.random, this.version())
    this.keys.set(record.id, shown)
    await this.send(entry, record, shown)
  }

  /** Sends one poison request, under a new id, to a random entry. */
  async callPoison(kinds: number): Promise<void> {
    const entry = this.fleet.entries[Math.floor(this.random() * this.fleet.entries.length)]!
    const record = this.newRecord('safe')
    this.poisonCalls += 1
    await this.send(entry, record, { key: STEADY_KEY }, `${POISON_PREFIX}${this.poisonCalls % kinds}`)
  }

  /** Sends one stream whose prompt has the poison part, unlike any other in the rest, to a random entry. */
  async callPoisonPart(): Promise<void> {
    const entry = this.fleet.entries[Math.floor(this.random() * this.fleet.entries.length)]!
    const record = this.newRecord('stream')
    await this.send(entry, record, { key: STEADY_KEY }, record.id, POISON_PART)
  }

  /** Sends one request with a key to an entry; returns its status, 0 when no answer began. */
  async statusWith(entry: SoakMachine, key: string): Promise<number> {
    return (await this.callWith(entry, key)).status
  }

  /** Sends one request with a key to an entry and returns its record, which is not added to `calls`. */
  async callWith(entry: SoakMachine, key: string, kind: CallRecord['kind'] = 'safe'): Promise<CallRecord> {
    const record = this.newRecord(kind)
    this.keys.set(record.id, { key })
    await this.send(entry, record, { key })
    return record
  }

  private newRecord(kind: CallRecord['kind']): CallRecord {
    this.count += 1
    const deadlineMs = kind === 'long' || kind === 'once' ? LONG_DEADLINE_MS : DEADLINE_MS
    const blank = { status: 0, body: '', isWhole: false, stamp: '', entry: '', startedAt: 0, endedAt: 0 }
    return { id: `r${this.count}`, kind, deadlineMs, ...blank }
  }

  private send(
    entry: SoakMachine,
    record: CallRecord,
    { key }: SoakKey,
    rest = 'x',
    document = DOCUMENT,
  ): Promise<void> {
    const url = this.fleet.callers(entry)
    record.entry = entry.name
    record.startedAt = Date.now()
    const isSlow = record.kind === 'large' || this.random() < this.slowShare
    return new Promise((resolve) => {
      const request = httpRequest(`${url}${PATHS[record.kind]}${rest}`, {
        method: record.kind === 'safe' || record.kind === 'large' ? 'GET' : 'POST',
        agent: false,
        headers: {
          host: HOST,
          'X-Forkstage-Request-Id': record.id,
          'X-Forkstage-Deadline-Ms': String(record.deadlineMs),
          'X-Forkstage-Token-Counts': '100,100',
          'X-Forkstage-Model': 'm',
          'X-Forkstage-Prompt-Prefix': `${SYSTEM_PROMPT}:20,${document}:30,own-${record.id}:50`,
          // A forged header: only the entry may set the workspace.
          'X-Forkstage-Tenant': 'forged',
          ...(key === undefined ? {} : { 'X-Api-Key': key }),
        },
      })
      const limit = setTimeout(() => request.destroy(), record.deadlineMs + 1_000)
      const finish = () => {
        clearTimeout(limit)
        if (record.endedAt === 0) record.endedAt = Date.now()
        resolve()
      }
      request.on('error', finish)
      request.on('close', finish)
      request.on('response', (response) => {
        record.status = response.statusCode ?? 0
        record.stamp = String(response.headers['x-forkstage-response-stamp'] ?? '')
        response.on('error', () => undefined)
        response.on('data', (bytes: Buffer) => (record.body += bytes.toString()))
        response.on('end', () => {
          record.isWhole = response.complete
          if (record.kind === 'large') record.body = record.body.trimEnd()
        })
        if (isSlow) response.once('data', () => pauseReading(response))
      })
      request.end()
    })
  }
}

function pauseReading(response: IncomingMessage): void {
  response.pause()
  setTimeout(() => response.resume(), SLOW_READ_PAUSE_MS)
}
