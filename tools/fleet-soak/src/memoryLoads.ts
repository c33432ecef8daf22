import { EVENTS, SIZED } from './endlessEndpoint'
import { pause } from './pause'
import { PATHS } from './soakCallers'
import { UnreadCaller, type UnreadCallerOptions } from './unreadCaller'

/** An entry, and how fast callers come. */
export interface LoadTarget {
  /** Base URL for callers. */
  url: string
  /** Time over which the callers of a load come, in milliseconds; all at once if 0. */
  withinMs: number
}

/** Plays a load with so many callers; resolves to the statuses that callers got. */
export type MemoryLoad = (to: LoadTarget, callers: number) => Promise<number[]>
export type LoadName = keyof typeof LOADS

const HOLD_MS = 5_000
const COME_EVERY_MS = 10
const LEAVE_AFTER_MS = 150
const ROUNDS = 3
/** Within the 16 KB that a head may have. */
const LARGE_HEADER = `X-Large: ${'h'.repeat(15_000)}`
const BODY = Buffer.alloc(4 * 1024 * 1024, 'a body ')
const KB = 1024

const sized = (kilobytes: number) => `${PATHS.safe}${SIZED}${kilobytes * KB}`
const POST_STREAM: UnreadCallerOptions = { method: 'POST' }

/** What callers do. */
export const LOADS = {
  'idle connections': (to: LoadTarget, callers: number) => hold(to, callers, sized(1)),
  'large heads': async (to: LoadTarget, callers: number) => {
    const all = await open(to, callers, sized(1), { headers: [LARGE_HEADER] })
    all.forEach((caller) => caller.read())
    for (let round = 1; round < ROUNDS; round += 1)
      for (const caller of all) {
        caller.send(sized(1))
        await pause(to.withinMs / callers)
      }
    await pause(HOLD_MS)
    return leave(all)
  },
  'heads without an end': (to: LoadTarget, callers: number) =>
    hold(to, callers, sized(1), { headers: [LARGE_HEADER], isHeadOpen: true }),
  'unread streams': (to: LoadTarget, callers: number) =>
    hold(to, callers, `${PATHS.stream}${EVENTS}`, POST_STREAM),
  'unread answers of 200 KB': (to: LoadTarget, callers: number) => hold(to, callers, sized(200)),
  'unread answers of 400 KB': (to: LoadTarget, callers: number) => hold(to, callers, sized(400)),
  'unread answers of 1 MB': (to: LoadTarget, callers: number) => hold(to, callers, sized(1_024)),
  'unread answers of 12 MB': (to: LoadTarget, callers: number) => hold(to, callers, sized(12_288)),
  'unread answers to bodies of 4 MB': (to: LoadTarget, callers: number) =>
    hold(to, callers, sized(4_096), { method: 'POST', body: BODY }),
  'endless answers beside bodies of 4 MB': async (to: LoadTarget, callers: number) => {
    const half = Math.ceil(callers / 2)
    const endless = await open(to, half, `${PATHS.safe}body`)
    const streams = await open(to, half, `${PATHS.stream}body`, POST_STREAM)
    const bodies = await open(to, half, sized(1), { method: 'POST', body: BODY })
    const all = [...endless, ...streams, ...bodies]
    all.forEach((caller) => caller.read())
    await pause(HOLD_MS)
    return leave(all)
  },
  'callers that leave': async (to: LoadTarget, callers: number) => {
    const statuses = []
    for (let round = 0; round < ROUNDS; round += 1) {
      const all = await open(to, callers / 2, sized(1_024))
      all.push(...(await open(to, callers / 2, `${PATHS.stream}${EVENTS}`, POST_STREAM)))
      await pause(LEAVE_AFTER_MS)
      statuses.push(...(await leave(all)))
    }
    return statuses
  },
} satisfies Record<string, MemoryLoad>

async function hold(to: LoadTarget, callers: number, path: string, options?: UnreadCallerOptions) {
  const all = await open(to, callers, path, options)
  await pause(HOLD_MS)
  return leave(all)
}

async function open(
  { url, withinMs }: LoadTarget,
  callers: number,
  path: string,
  options?: UnreadCallerOptions,
) {
  const all: UnreadCaller[] = []
  const startedAt = performance.now()
  while (all.length < callers) {
    const share = withinMs === 0 ? 1 : (performance.now() - startedAt) / withinMs
    const due = Math.ceil(share * callers)
    while (all.length < Math.min(callers, due)) all.push(new UnreadCaller(url, path, options))
    await pause(COME_EVERY_MS)
  }
  return all
}

function leave(all: UnreadCaller[]): Promise<number[]> {
  return Promise.all(all.map((caller) => caller.leave()))
}
