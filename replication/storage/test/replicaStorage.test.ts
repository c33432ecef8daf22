import { mkdtempSync, readFileSync, rmSync, statSync, truncateSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { LogEntry, Snapshot } from '@forkstage/raft'
import {
  createFileSystem,
  DamagedLogError,
  DiskError,
  openReplicaStorage,
  type FileSystem,
  type LogRecord,
} from '../src'

let folder = ''
beforeEach(() => void (folder = mkdtempSync(join(tmpdir(), 'forkstage-storage-'))))
afterEach(() => rmSync(folder, { recursive: true, force: true }))

const entry = (index: number, term = 1): LogEntry => ({
  index,
  term,
  kind: 'command',
  data: { text: `entry ${index}` },
})
const records = (...entries: LogEntry[]): LogRecord[] =>
  entries.map((each) => ({ type: 'entry', entry: each }))
const snapshot = (index: number, term = 1): Snapshot => ({
  meta: { index, term, configIndex: 0, config: { voters: [], learners: [] } },
  data: Buffer.from('state'),
})

async function write(...batches: LogRecord[][]): Promise<void> {
  const { storage } = await openReplicaStorage(folder)
  for (const batch of batches) await storage.append(batch)
  await storage.close()
}

async function reopen() {
  const { storage, stored } = await openReplicaStorage(folder)
  await storage.close()
  return stored
}

describe('replicaStorage', () => {
  it('restores synced records under the same identity', async () => {
    await write([{ type: 'hardState', hardState: { term: 3, votedFor: 'r1' } }], records(entry(1), entry(2)))
    const first = await reopen()
    expect(first.entries.map((each) => each.index)).toEqual([1, 2])
    expect(first.hardState).toEqual({ term: 3, votedFor: 'r1' })
    expect((await reopen()).identity).toEqual({
      replica: first.identity.replica,
      boots: first.identity.boots + 1,
      mayFound: true,
    })
  })

  it('truncates a tail that a crash left incomplete, at every length', async () => {
    await write(records(entry(1)))
    const kept = statSync(join(folder, 'log')).size
    await write(records(entry(2)))
    const whole = readFileSync(join(folder, 'log'))
    for (let length = kept; length < whole.length; length += 1) {
      writeFileSync(join(folder, 'log'), whole.subarray(0, length))
      expect((await reopen()).entries).toHaveLength(1)
      expect(statSync(join(folder, 'log')).size).toBe(kept)
    }
  })

  it('truncates a tail whose blocks were never written', async () => {
    await write(records(entry(1)))
    const size = statSync(join(folder, 'log')).size
    truncateSync(join(folder, 'log'), size + 4096)
    expect((await reopen()).entries).toHaveLength(1)
  })

  it('detects a flipped bit and never loses a synced entry silently', async () => {
    await write(records(entry(1)), records(entry(2)), records(entry(3)))
    const whole = readFileSync(join(folder, 'log'))
    await fc.assert(
      fc.asyncProperty(fc.nat(whole.length * 8 - 1), async (bit) => {
        const flipped = Buffer.from(whole)
        flipped[bit >> 3]! ^= 1 << (bit & 7)
        writeFileSync(join(folder, 'log'), flipped)
        await expect(reopen()).rejects.toThrow(DamagedLogError)
      }),
      { numRuns: 200, seed: 7 },
    )
  })

  it('rejects a damaged snapshot', async () => {
    const { storage } = await openReplicaStorage(folder)
    await storage.saveSnapshot(snapshot(2), { term: 1, votedFor: null }, [entry(3)])
    await storage.close()
    expect((await reopen()).entries.map((each) => each.index)).toEqual([3])
    const bytes = readFileSync(join(folder, 'snapshot'))
    bytes[bytes.length - 3]! ^= 1
    writeFileSync(join(folder, 'snapshot'), bytes)
    await expect(reopen()).rejects.toThrow(DamagedLogError)
  })

  it('drops the entries of a log that conflicts with a snapshot saved before a crash', async () => {
    await write(records(entry(1), entry(2), entry(3)))
    const other = await openReplicaStorage(`${folder}/other`)
    await other.storage.saveSnapshot(snapshot(2, 5), { term: 5, votedFor: null }, [])
    await other.storage.close()
    writeFileSync(join(folder, 'snapshot'), readFileSync(`${folder}/other/snapshot`))
    expect((await reopen()).entries).toEqual([])
  })

  it.each(['append', 'sync'] as const)('throws a DiskError if the disk fails at %s', async (step) => {
    const { storage } = await openReplicaStorage(folder, { fileSystem: failing(step) })
    await expect(storage.append(records(entry(1)))).rejects.toThrow(DiskError)
  })
})

function failing(step: 'append' | 'sync'): FileSystem {
  const files = createFileSystem()
  const fail = () => Promise.reject(new Error('ENOSPC: no space left on device'))
  return { ...files, openAppend: async (path) => ({ ...(await files.openAppend(path)), [step]: fail }) }
}
