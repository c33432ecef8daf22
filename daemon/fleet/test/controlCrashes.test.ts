import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { CRASH_REPORT, CrashBook } from '@forkstage/crashes'
import { createSilentLogger } from '@forkstage/logger'
import { createFileSystem } from '@forkstage/storage'
import { ControlCrashes } from '../src/controlCrashes'
import { until } from './fleetWorld'

const KEEP_MS = 60_000
const folders: string[] = []
afterEach(() => folders.splice(0).forEach((folder) => rmSync(folder, { recursive: true, force: true })))

function newFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-crashes-'))
  folders.push(folder)
  return folder
}

/** A control machine's part over a disk. */
function machine(folder: string, clock = new ManualClock()) {
  const book = new CrashBook({ now: () => clock.now(), ends: 3, keepMs: KEEP_MS })
  let changes = 0
  const crashes = new ControlCrashes({
    book,
    folder,
    files: createFileSystem(),
    clock,
    logger: createSilentLogger(),
    onChange: () => (changes += 1),
  })
  return { book, clock, crashes, changes: () => changes }
}

const BAD = { content: 'bad', ended: ['l1', 'l2', 'l3'], early: ['l1'], served: [], ageMs: 1_000 }

it('takes what entries report, passes on what is new, and answers that it has it', async () => {
  const { crashes, book, changes } = machine(newFolder())
  const report = crashes.methods()[CRASH_REPORT] as (params: unknown) => unknown
  expect(await report({ records: [BAD, { content: 7 }] })).toBe(true)
  expect(await report({ records: [BAD] })).toBe(true)
  expect(changes()).toBe(1)
  expect(book.refusal('bad')).toMatchObject({ ends: 3 })
})

it('knows after a start what it knew before, as old as it is by then', async () => {
  const folder = newFolder()
  const first = machine(folder)
  first.crashes.take([BAD])
  first.clock.advance(1_000)
  await until('the file to be written', async () => {
    const again = machine(folder)
    await again.crashes.recall()
    return again.book.size === 1
  })
  const later = machine(folder, new ManualClock(21_000))
  await later.crashes.recall()
  expect(later.book.refusal('bad')).toEqual({ ends: 3, leftMs: KEEP_MS - 1_000 - 21_000 })
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
  expect(again.book.refusal('bad')).toMatchObject({ ends: 3 })
})

it('answers for nothing while its disk takes nothing, and takes it in all the same', async () => {
  const { crashes, book } = machine('/dev/null/not-a-folder')
  const report = crashes.methods()[CRASH_REPORT] as (params: unknown) => Promise<unknown>
  await expect(report({ records: [BAD] })).rejects.toThrow('not on disk')
  await expect(report({ records: [BAD] })).rejects.toThrow('not on disk')
  expect(book.refusal('bad')).toMatchObject({ ends: 3 })
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
