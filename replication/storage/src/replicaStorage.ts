import { randomUUID } from 'node:crypto'
import type { HardState, LogEntry, ReplicaId, Snapshot } from '@forkstage/raft'
import { createFileSystem, type AppendFile, type FileSystem } from './fileSystem'
import { decodeRecords, decodeSingleRecord, encodeRecord, type LogRecord } from './records'
import { DiskError } from './storageErrors'

/** The identity of a replica: generated once, at random, and lost with the disk. */
export interface ReplicaIdentity {
  replica: ReplicaId
  /** Number of times that the folder has been opened. */
  boots: number
  /** Whether the replica may found its group, at this start or at an earlier one with this disk. */
  mayFound: boolean
}

/** The contents of the disk when it was opened. */
export interface StoredReplica {
  identity: ReplicaIdentity
  hardState: HardState
  /** Absent until the replica has founded or joined its group. */
  snapshot?: Snapshot
  entries: LogEntry[]
}

/** Options of {@link openReplicaStorage}. */
export interface OpenReplicaStorageOptions {
  fileSystem?: FileSystem
  /** Generates the identity of a new disk. */
  createId?: () => ReplicaId
  /** Whether the replica may found its group at this start; true if absent. */
  mayFound?: boolean
}

const IDENTITY_FILE = 'replica.json'
const LOG_FILE = 'log'
const SNAPSHOT_FILE = 'snapshot'

/** Opens the folder of one replica of one group, or creates it. @throws DamagedLogError if a file is damaged. */
export async function openReplicaStorage(
  folder: string,
  options: OpenReplicaStorageOptions = {},
): Promise<{ storage: ReplicaStorage; stored: StoredReplica }> {
  const files = options.fileSystem ?? createFileSystem()
  const createId = options.createId ?? (() => randomUUID())
  await files.makeFolder(folder)
  const names = await files.list(folder)
  const identity = await openIdentity(files, folder, names, {
    createId,
    mayFound: options.mayFound !== false,
  })
  const snapshot = names.includes(SNAPSHOT_FILE)
    ? decodeSingleRecord<Snapshot>(
        await files.read(`${folder}/${SNAPSHOT_FILE}`),
        `${folder}/${SNAPSHOT_FILE}`,
      )
    : undefined
  const records = names.includes(LOG_FILE) ? await readLog(files, `${folder}/${LOG_FILE}`) : []
  const { hardState, entries } = replay(records, snapshot)
  const log = await files.openAppend(`${folder}/${LOG_FILE}`)
  return {
    storage: new ReplicaStorage(files, folder, log),
    stored: { identity, hardState, snapshot, entries },
  }
}

async function openIdentity(
  files: FileSystem,
  folder: string,
  names: string[],
  { createId, mayFound }: { createId: () => ReplicaId; mayFound: boolean },
): Promise<ReplicaIdentity> {
  const path = `${folder}/${IDENTITY_FILE}`
  const exists = names.includes(IDENTITY_FILE)
  const stored = exists ? (JSON.parse((await files.read(path)).toString()) as ReplicaIdentity) : undefined
  const identity = {
    replica: stored?.replica ?? createId(),
    boots: (stored?.boots ?? 0) + 1,
    mayFound: mayFound || stored?.mayFound === true,
  }
  await files.replace(path, Buffer.from(JSON.stringify(identity)))
  return identity
}

async function readLog(files: FileSystem, path: string): Promise<LogRecord[]> {
  const bytes = await files.read(path)
  const { records, validLength } = decodeRecords(bytes, path)
  if (validLength < bytes.length) await files.truncate(path, validLength)
  return records
}

function replay(
  records: LogRecord[],
  snapshot: Snapshot | undefined,
): { hardState: HardState; entries: LogEntry[] } {
  let hardState: HardState = { term: 0, votedFor: null }
  let entries: LogEntry[] = []
  for (const record of records) {
    if (record.type === 'hardState') hardState = record.hardState
    else if (record.type === 'truncate') entries = entries.filter((entry) => entry.index < record.from)
    else entries.push(record.entry)
  }
  if (snapshot === undefined) return { hardState, entries }
  const { index, term } = snapshot.meta
  const covered = entries.find((entry) => entry.index === index)
  // If the log conflicts with the snapshot, its later entries belong to a history that the snapshot replaced.
  const contradicts = covered !== undefined && covered.term !== term
  return { hardState, entries: contradicts ? [] : entries.filter((entry) => entry.index > index) }
}

/** The open folder of one replica. Calls must not overlap; the callers in the group package ensure that. */
export class ReplicaStorage {
  constructor(
    private readonly files: FileSystem,
    private readonly folder: string,
    private log: AppendFile,
  ) {}

  /** Appends records and returns once they are synced. @throws DiskError if the write or the sync fails. */
  async append(records: LogRecord[]): Promise<void> {
    try {
      await this.log.append(Buffer.concat(records.map(encodeRecord)))
      await this.log.sync()
    } catch (error) {
      throw new DiskError('append to the log', error)
    }
  }

  /**
   * Saves a snapshot and replaces the log with the hard state and the entries that follow the snapshot.
   * @returns the size of the snapshot file in bytes.
   * @throws DiskError if a write or a sync fails.
   */
  async saveSnapshot(snapshot: Snapshot, hardState: HardState, rest: LogEntry[]): Promise<number> {
    const records: LogRecord[] = [
      { type: 'hardState', hardState },
      ...rest.map((entry) => ({ type: 'entry' as const, entry })),
    ]
    const bytes = encodeRecord(snapshot)
    try {
      await this.files.replace(`${this.folder}/${SNAPSHOT_FILE}`, bytes)
      await this.log.close()
      await this.files.replace(`${this.folder}/${LOG_FILE}`, Buffer.concat(records.map(encodeRecord)))
      this.log = await this.files.openAppend(`${this.folder}/${LOG_FILE}`)
    } catch (error) {
      throw new DiskError('save a snapshot', error)
    }
    return bytes.length
  }

  close(): Promise<void> {
    return this.log.close()
  }
}
