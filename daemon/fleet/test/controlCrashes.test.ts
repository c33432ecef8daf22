import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { CRASH_REPORT, CrashTracker, TRIAL_REQUEST, TRIAL_END } from '@forkstage/crashes'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { createFileSystem } from '@forkstage/storage'
import { ControlCrashes } from '../src/controlCrashes'
import { until } from './fleetHarness'

const KEEP_MS = 60_000
const NO_PEER = {} as never
const folders: string[] = []
afterEach(() => folders.splice(0).forEach((folder) => rmSync(folder, { recursive: true, force: true })))

function newFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-crashes-'))
  folders.push(folder)
  return folder
}

/** Creates the crash handling of a control machine that stores its records in a folder. */
function setUp(folder: string, clock = new ManualClock()) {
  const tracker = new CrashTracker({ now: () => clock.now(), ends: 3, keepMs: KEEP_MS })
  let changes = 0
  const leads = { value: true }
  const endpoints: RegisteredEndpoint[] = []
  const crashes = new ControlCrashes({
    tracker,
    folder,
    files: createFileSystem(),
    clock,
    logger: createSilentLogger(),
    onChange: () => (changes += 1),
    endpoints: () => endpoints,
    isBarred: ({ zone }) => zone === 'barred',
    isLeader: () => leads.value,
    random: () => 0,
  })
  return { tracker, clock, crashes, leads, endpoints, changes: () => changes }
}

const POISON_RECORD = { content: 'bad', ended: ['l1', 'l2', 'l3'], early: ['l1'], served: [], ageMs: 1_000 }

it('merges reported crashes, notifies followers of new records only, and acknowledges both reports', async () => {
  const { crashes, tracker, changes } = setUp(newFolder())
  const report = crashes.methods()[CRASH_REPORT] as (params: unknown) => unknown
  expect(await report({ records: [POISON_RECORD, { content: 7 }] })).toBe(true)
  expect(await report({ records: [POISON_RECORD] })).toBe(true)
  expect(changes()).toBe(1)
  expect(tracker.refusalByBlame('bad')).toMatchObject({ ends: 3 })
})

it('restores crash records after a restart, with their age increased by the time that has passed', async () => {
  const folder = newFolder()
  const first = setUp(folder)
  first.crashes.apply([POISON_RECORD])
  first.clock.advance(1_000)
  await until('the file is written', async () => {
    const again = setUp(folder)
    await again.crashes.load()
    return again.tracker.size === 1
  })
  const later = setUp(folder, new ManualClock(21_000))
  await later.crashes.load()
  expect(later.tracker.refusalByBlame('bad')).toEqual({ ends: 3, leftMs: KEEP_MS - 1_000 - 21_000 })
})

/**
 * Guards against crash records lost by a leader that is killed right after its answer and restarts at the same address:
 * entries do not repeat acknowledged reports, and records were written to disk up to a second after the answer.
 */
it('has written a report to disk before it acknowledges it', async () => {
  const folder = newFolder()
  const first = setUp(folder)
  const report = first.crashes.methods()[CRASH_REPORT] as (params: unknown) => unknown
  expect(await report({ records: [POISON_RECORD] })).toBe(true)
  const again = setUp(folder)
  await again.crashes.load()
  expect(again.tracker.refusalByBlame('bad')).toMatchObject({ ends: 3 })
})

it('does not acknowledge a report that cannot be written to disk, but applies it in memory', async () => {
  const { crashes, tracker } = setUp('/dev/null/not-a-folder')
  const report = crashes.methods()[CRASH_REPORT] as (params: unknown) => Promise<unknown>
  await expect(report({ records: [POISON_RECORD] })).rejects.toThrow('could not be written to disk')
  await expect(report({ records: [POISON_RECORD] })).rejects.toThrow('could not be written to disk')
  expect(tracker.refusalByBlame('bad')).toMatchObject({ ends: 3 })
})

it.each(['', '{"savedAt":1', '[]', '{"savedAt":"x","records":[{"content":{}}]}', 'null'])(
  'starts without records if the file is not valid (%j)',
  async (text) => {
    const folder = newFolder()
    writeFileSync(join(folder, 'crashes.json'), text)
    const { crashes, tracker } = setUp(folder)
    await crashes.load()
    expect(tracker.size).toBe(0)
  },
)

describe('isolated trials at a control machine', () => {
  const plain = (id: string, fields: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint => {
    const base = { service: 's', address: `${id}:1`, zone: 'z', slots: 4, models: [], sequence: 1 }
    return { id, state: 'ready', ...base, ...fields }
  }
  const trialRequester = (one: ReturnType<typeof setUp>) => (raw: unknown) =>
    one.crashes.methods()[TRIAL_REQUEST]!(raw as never, NO_PEER)
  const REQUEST = { service: 's', content: 'maybe' }

  it('get a reserved endpoint from the leader only, and only an endpoint that takes requests', async () => {
    const one = setUp(newFolder())
    one.crashes.start()
    const others = [
      plain('b', { zone: 'barred' }),
      plain('c', { state: 'draining' }),
      plain('d', { stage: 'decode' }),
    ]
    one.endpoints.push(...others, plain('p1'), plain('p2'), plain('p3'))
    const requestTrial = trialRequester(one)
    expect(await requestTrial(REQUEST)).toMatchObject({ type: 'later' })
    expect(one.crashes.reserved).toEqual(['p1'])
    one.clock.advance(500)
    expect(await requestTrial(REQUEST)).toMatchObject({ type: 'granted', endpoint: 'p1' })
    expect(await requestTrial({ ...REQUEST, content: 'other' })).toMatchObject({ type: 'later' })
    await one.crashes.methods()[TRIAL_END]!({ ...REQUEST, endpoint: 'p1' } as never, NO_PEER)
    expect(await requestTrial({ ...REQUEST, content: 'other' })).toMatchObject({ type: 'granted' })
    one.leads.value = false
    expect(await requestTrial(REQUEST)).toBeUndefined()
    one.clock.advance(100)
    expect(one.crashes.reserved).toEqual([])
    one.crashes.stop()
  })

  it('reserve another endpoint after a crash, and ignore malformed requests', async () => {
    const one = setUp(newFolder())
    one.endpoints.push(...['p1', 'p2', 'p3', 'p4'].map((id) => plain(id)))
    const requestTrial = trialRequester(one)
    await requestTrial(REQUEST)
    one.tracker.recordCrash('p1', [{ content: 'maybe', isEarly: true }])
    await requestTrial(REQUEST)
    expect(one.crashes.reserved).toEqual(['p2'])
    for (const raw of [undefined, {}, { service: 's' }, { service: 7, content: 'x' }]) {
      expect(await requestTrial(raw)).toBeUndefined()
      await one.crashes.methods()[TRIAL_END]!(raw as never, NO_PEER)
    }
  })

  // Guards against a new leader that lets a content run again because it lacks crash records of the requesting entry.
  it('use the crash records sent with the request and at the end of a turn', async () => {
    const one = setUp(newFolder())
    one.endpoints.push(plain('p1'), plain('p2'), plain('p3'))
    const requestTrial = trialRequester(one)
    const known = (...crashed: string[]) => [
      { content: 'maybe', ended: crashed, early: [], served: [], ageMs: 1 },
      { content: 7 },
    ]
    expect(await requestTrial({ ...REQUEST, turnOf: 'r1', records: known('x1') })).toEqual({
      type: 'anywhere',
    })
    expect(await requestTrial({ ...REQUEST, turnOf: 'r2' })).toMatchObject({ type: 'later' })
    await one.crashes.methods()[TRIAL_END]!(
      { ...REQUEST, turnOf: 'r1', records: known('x1', 'x2') } as never,
      NO_PEER,
    )
    expect(await requestTrial({ ...REQUEST, turnOf: 'r2' })).toEqual({ type: 'isolate' })
    expect(one.crashes.reserved).toEqual([])
    expect(await requestTrial({ ...REQUEST, turnOf: 'r2', records: 'none' })).toEqual({ type: 'isolate' })
    expect(await requestTrial(REQUEST)).toMatchObject({ type: 'later', retryAfterMs: 500 })
  })
})
