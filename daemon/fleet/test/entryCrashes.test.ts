import { expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { CrashTracker, type ContentDigest } from '@forkstage/crashes'
import { Directory, type Stage } from '@forkstage/directory'
import { LeaderClient } from '@forkstage/gateway'
import { createSilentLogger } from '@forkstage/logger'
import { EntryCrashes } from '../src/entryCrashes'
import { endpointWithDefaults } from '../../../request/gateway/test/rowsWithDefaults'

/** Sets up an entry that has recorded four crashes for content `bad`, three of them shared with content `other`. */
function start(endpoints: number, stage?: Stage, barred?: string) {
  const clock = new ManualClock()
  const logger = createSilentLogger()
  const tracker = new CrashTracker({ now: () => clock.now(), ends: 3, keepMs: 60_000 })
  const directory = new Directory(() => clock.now())
  for (let index = 0; index < endpoints; index += 1)
    directory.merge([endpointWithDefaults({ stage, address: `10.0.0.${index}:1` }, index)])
  const peers = { call: () => new Promise<never>(() => undefined), notify: () => undefined }
  const leaderClient = new LeaderClient({
    leader: () => undefined,
    neighbours: () => [],
    peers,
    clock,
    logger,
    forwardableMethods: [],
  })
  const crashes = new EntryCrashes({
    tracker,
    directory,
    isBarred: ({ id }) => id === barred,
    leaderClient,
    probeAddress: () => Promise.resolve('refused'),
    clock,
    logger,
  })
  const early = (...contents: string[]) =>
    contents.map((content) => ({ content: content as ContentDigest, isEarly: true }))
  tracker.recordCrash('l0', early('bad'))
  for (const incarnation of ['l1', 'l2', 'l3']) tracker.recordCrash(incarnation, early('bad', 'other'))
  const isRefused = (content: string) => crashes.refusal(withContent(content), 'plain') !== undefined
  return { isRefused, crashes, tracker }
}

const withContent = (content: string) => ({ content: () => content as ContentDigest, parts: () => [] })

it('refuses a content by its number of crashes alone only if the service can reserve an endpoint', () => {
  expect(start(3).isRefused('other')).toBe(true)
  expect(start(2).isRefused('other')).toBe(false)
  expect(start(3, undefined, 'i-1').isRefused('other')).toBe(false)
  expect(start(6, 'decode').isRefused('other')).toBe(false)
  for (const entry of [start(3), start(2), start(6, 'decode')]) expect(entry.isRefused('bad')).toBe(true)
})

// Guards against requests refused because there is no leader: turns only protect endpoints.
it('lets a content run without its turn if no leader answers, and delays one that needs an isolated trial', async () => {
  const { crashes } = start(3)
  expect(await crashes.askTurn('other' as ContentDigest, 'plain', 'r1')).toEqual({ type: 'anywhere' })
  expect(await crashes.askIsolated('other' as ContentDigest, 'plain')).toEqual({
    type: 'later',
    retryAfterMs: 800,
  })
})

it('decides by the recorded crashes, and by the losses of the request only while these are unconfirmed', () => {
  const { crashes, tracker } = start(3)
  const decide = (content: string, lost: string[] = []) =>
    crashes.decide(withContent(content), 'plain', lost).type
  expect(decide('bad')).toBe('refuse')
  tracker.recordServed('other' as ContentDigest)
  expect(decide('other')).toBe('send')
  // After four crashes in quick succession, content that has not been served recently runs one request at a time.
  expect(decide('never seen')).toBe('serialize')
  const endpoint = endpointWithDefaults({ address: '127.0.0.1:9' }, 0)
  const lose = (request: string) =>
    crashes.recordLoss({ request, content: 'lost' as ContentDigest, endpoint, isBroken: true, afterMs: 5 })
  expect(decide('lost', ['i-0', 'i-0'])).toBe('serialize')
  lose('r1')
  expect(decide('lost', ['i-0', 'i-0'])).toBe('await-confirmation')
  expect(decide('lost', ['i-1', 'i-1'])).toBe('serialize')
})

// Guards against a leader asked for its turn by every request that shares a part.
it('asks for the turn of a part with one request at a time', async () => {
  const { crashes } = start(3, 'decode')
  const first = crashes.askTurn('part-sys', 'plain', 'r1')
  expect(await crashes.askTurn('part-sys', 'plain', 'r2')).toEqual({ type: 'later', retryAfterMs: 50 })
  expect(await first).toEqual({ type: 'anywhere' })
  expect(await crashes.askTurn('part-sys', 'plain', 'r2')).toMatchObject({ type: 'later' })
  crashes.endTurn('part-sys', 'plain', 'r1')
  expect(await crashes.askTurn('part-sys', 'plain', 'r2')).toEqual({ type: 'anywhere' })
})
