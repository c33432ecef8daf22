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
import { until } from './fleetWorld'

const KEEP_MS = 60_000
const NOBODY = {} as never
const folders: string[] = []
afterEach(() => folders.splice(0).forEach((folder) => rmSync(folder, { recursive: true, force: true })))

function newFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-crashes-'))
  folders.push(folder)
  return folder
}

/** A control machine's part over a disk. */
function machine(folder: string, clock = new ManualClock()) {
  const book = new CrashTracker({ now: () => clock.now(), ends: 3, keepMs: KEEP_MS })
  let changes = 0
  const leads = { value: true }
  const endpoints: RegisteredEndpoint[] = []
  const crashes = new ControlCrashes({
    book,
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
  return { book, clock, crashes, leads, endpoints, changes: () => changes }
}

const BAD = { content: 'bad', ended: ['l1', 'l2', 'l3'], early: ['l1'], served: [], ageMs: 1_000 }

it('takes what entries report, passes on what is new, and answers that it has it', async () => {
  const { crashes, book, changes } = machine(newFolder())
  const report = crashes.methods()[CRASH_REPORT] as (params: unknown) => unknown
  expect(await report({ records: [BAD, { content: 7 }] })).toBe(true)
  expect(await report({ records: [BAD] })).toBe(true)
  expect(changes()).toBe(1)
  expect(book.refusalByBlame('bad')).toMatchObject({ ends: 3 })
})

it('knows after a start what it knew before, as old as it is by then', async () => {
  const folder = newFolder()
  const first = machine(folder)
  first.crashes.apply([BAD])
  first.clock.advance(1_000)
  await until('the file to be written', async () => {
    const again = machine(folder)
    await again.crashes.recall()
    return again.book.size === 1
  })
  const later = machine(folder, new ManualClock(21_000))
  await later.crashes.recall()
  expect(later.book.refusalByBlame('bad')).toEqual({ ends: 3, leftMs: KEEP_MS - 1_000 - 21_000 })
})

/**
 * A leader that is killed after its answer and leads again at the same address is told nothing more: its entries have its
 * answer. What it had been told stood in memory for up to a second, so that an end was missing from the count for good.
 */
it('has on disk what it has answered for, also when it is killed right after', async () => {
  const folder = newFolder()
  const first = machine(folder)
  const report = first.crashes.methods()[CRASH_REPORT] as (params: unknown) => unknown
  expect(await report({ records: [BAD] })).toBe(true)
  const again = machine(folder)
  await again.crashes.recall()
  expect(again.book.refusalByBlame('bad')).toMatchObject({ ends: 3 })
})

it('answers for nothing while its disk takes nothing, and takes it in all the same', async () => {
  const { crashes, book } = machine('/dev/null/not-a-folder')
  const report = crashes.methods()[CRASH_REPORT] as (params: unknown) => Promise<unknown>
  await expect(report({ records: [BAD] })).rejects.toThrow('not on disk')
  await expect(report({ records: [BAD] })).rejects.toThrow('not on disk')
  expect(book.refusalByBlame('bad')).toMatchObject({ ends: 3 })
})

it.each(['', '{"savedAt":1', '[]', '{"savedAt":"x","records":[{"content":{}}]}', 'null'])(
  'knows nothing after a file that cannot be read (%j)',
  async (text) => {
    const folder = newFolder()
    writeFileSync(join(folder, 'crashes.json'), text)
    const { crashes, book } = machine(folder)
    await crashes.recall()
    expect(book.size).toBe(0)
  },
)

describe('contents that must run alone', () => {
  const plain = (id: string, fields: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint => {
    const base = { service: 's', address: `${id}:1`, zone: 'z', slots: 4, models: [], sequence: 1 }
    return { id, state: 'ready', ...base, ...fields }
  }
  const asking = (one: ReturnType<typeof machine>) => (raw: unknown) =>
    one.crashes.methods()[TRIAL_REQUEST]!(raw as never, NOBODY)
  const ASK = { service: 's', content: 'maybe' }

  it('get an endpoint that is kept free, by the word of the machine that leads, and only of such as take work', async () => {
    const one = machine(newFolder())
    one.crashes.start()
    const others = [
      plain('b', { zone: 'barred' }),
      plain('c', { state: 'draining' }),
      plain('d', { stage: 'decode' }),
    ]
    one.endpoints.push(...others, plain('p1'), plain('p2'), plain('p3'))
    const ask = asking(one)
    expect(await ask(ASK)).toMatchObject({ type: 'later' })
    expect(one.crashes.keptFree).toEqual(['p1'])
    one.clock.advance(500)
    expect(await ask(ASK)).toMatchObject({ type: 'granted', endpoint: 'p1' })
    expect(await ask({ ...ASK, content: 'other' })).toMatchObject({ type: 'later' })
    await one.crashes.methods()[TRIAL_END]!({ ...ASK, endpoint: 'p1' } as never, NOBODY)
    expect(await ask({ ...ASK, content: 'other' })).toMatchObject({ type: 'granted' })
    one.leads.value = false
    expect(await ask(ASK)).toBeUndefined()
    one.clock.advance(100)
    expect(one.crashes.keptFree).toEqual([])
    one.crashes.stop()
  })

  it('leave an endpoint that has ended, and ask for nothing with words that are none', async () => {
    const one = machine(newFolder())
    one.endpoints.push(...['p1', 'p2', 'p3', 'p4'].map((id) => plain(id)))
    const ask = asking(one)
    await ask(ASK)
    one.book.recordCrash('p1', [{ content: 'maybe', isEarly: true }])
    await ask(ASK)
    expect(one.crashes.keptFree).toEqual(['p2'])
    for (const raw of [undefined, {}, { service: 's' }, { service: 7, content: 'x' }]) {
      expect(await ask(raw)).toBeUndefined()
      await one.crashes.methods()[TRIAL_END]!(raw as never, NOBODY)
    }
  })

  // Guards against a new leader that lets a content run again because it has not heard of what the asking entry saw.
  it('go by what the asking entry knows too, and by what it saw in its turn', async () => {
    const one = machine(newFolder())
    one.endpoints.push(plain('p1'), plain('p2'), plain('p3'))
    const ask = asking(one)
    const known = (...crashed: string[]) => [
      { content: 'maybe', ended: crashed, early: [], served: [], ageMs: 1 },
      { content: 7 },
    ]
    expect(await ask({ ...ASK, turnOf: 'r1', records: known('x1') })).toEqual({ type: 'anywhere' })
    expect(await ask({ ...ASK, turnOf: 'r2' })).toMatchObject({ type: 'later' })
    await one.crashes.methods()[TRIAL_END]!(
      { ...ASK, turnOf: 'r1', records: known('x1', 'x2') } as never,
      NOBODY,
    )
    expect(await ask({ ...ASK, turnOf: 'r2' })).toEqual({ type: 'isolate' })
    expect(one.crashes.keptFree).toEqual([])
    expect(await ask({ ...ASK, turnOf: 'r2', records: 'none' })).toEqual({ type: 'isolate' })
    expect(await ask(ASK)).toMatchObject({ type: 'later', retryAfterMs: 500 })
  })
})
