import { pack, unpack } from 'msgpackr'
import { assertInvariant } from '@forkstage/error'
import type { StateMachine } from '@forkstage/group'
import { applyDelta, digestTable } from '@forkstage/table'
import type { Table, VersionedTable } from '@forkstage/types'
import type {
  ConfirmCommand,
  ConfirmResult,
  ControlCommand,
  ControlResult,
  FenceResult,
  HistoryEntry,
  TableUpdate,
} from './controlCommands'
import { VersionFingerprints } from './versionFingerprints'

/** Versions whose changes are kept, for the history and for incremental updates of boxes. */
const RECENT_VERSIONS = 1_000
/** Fence nonces kept to recognize resends, which follow within seconds. */
const RECENT_FENCES = 256

interface ControlSnapshot {
  table: VersionedTable
  recent: HistoryEntry[]
  marks: Uint8Array
  fence: number
  fences: [string, number][]
}

/** The replicated state of the control group: the accepted table, its history, and the order fence. */
export class ControlStateMachine implements StateMachine<ControlCommand, ControlResult> {
  private current: VersionedTable = emptyTable()
  private recent: HistoryEntry[] = []
  private fingerprints = new VersionFingerprints()
  private fence = 0
  private fences = new Map<string, number>()
  /** Called with the version of each accepted table; not part of the replicated state. */
  onAccepted: (version: number) => void = () => undefined

  get table(): VersionedTable {
    return this.current
  }

  get history(): readonly HistoryEntry[] {
    return this.recent
  }

  apply(command: ControlCommand): ControlResult {
    return command.type === 'confirm' ? this.confirm(command) : this.issueFence(command.nonce)
  }

  /** The update from a version to the newest one; undefined if the version is not older. */
  updateFrom(version: number): TableUpdate | undefined {
    if (version >= this.current.version) return undefined
    const steps = this.recent.filter((entry) => entry.version > version)
    const isContiguous = steps[0]?.version === version + 1
    if (version > 0 && isContiguous)
      return { type: 'steps', steps: steps.map(({ version, digest, delta }) => ({ version, digest, delta })) }
    return { type: 'full', ...this.current }
  }

  snapshot(): Uint8Array {
    const stored: ControlSnapshot = {
      table: this.current,
      recent: this.recent,
      marks: this.fingerprints.toBytes(),
      fence: this.fence,
      fences: [...this.fences],
    }
    return pack(stored)
  }

  restore(data: Uint8Array): void {
    const stored = unpack(data) as ControlSnapshot
    assertInvariant(
      stored.table.version >= this.current.version,
      'the accepted table never reverts',
      () => `${stored.table.version}`,
    )
    this.current = stored.table
    this.recent = stored.recent
    this.fingerprints = VersionFingerprints.fromBytes(stored.marks)
    this.fence = stored.fence
    this.fences = new Map(stored.fences)
  }

  private confirm(command: ConfirmCommand): ConfirmResult {
    const version = command.base + 1
    if (this.fingerprints.matches(version, command.confirmId, command.digest)) {
      return { outcome: 'accepted', version, digest: command.digest }
    }
    if (command.base !== this.current.version) return this.conflict(command, version)
    const table = applyDelta(this.current.table, command.delta)
    if (digestTable(table) !== command.digest) {
      return { ...this.currentConflict(), reason: 'the changes do not produce the confirmed digest' }
    }
    return this.accept(command, version, table)
  }

  private conflict(command: ConfirmCommand, version: number): ConfirmResult {
    const reused = this.fingerprints.hasConfirmId(version, command.confirmId)
    const reason = reused
      ? `confirm id ${command.confirmId} was already used for another table, accepted as version ${version}`
      : `the table is based on version ${command.base}; the newest is ${this.current.version}`
    return { ...this.currentConflict(), reason }
  }

  private currentConflict() {
    const { version, digest } = this.current
    return { outcome: 'conflict' as const, version, digest }
  }

  private accept(command: ConfirmCommand, version: number, table: Table): ConfirmResult {
    assertInvariant(version === this.current.version + 1, 'versions rise by one', () => `${version}`)
    const { digest, confirmId, who, at, delta } = command
    this.current = { version, digest, table }
    this.fingerprints.append(confirmId, digest)
    this.recent.push({ version, digest, confirmId, who, at, delta })
    if (this.recent.length > RECENT_VERSIONS) this.recent.shift()
    this.onAccepted(version)
    return { outcome: 'accepted', version, digest }
  }

  private issueFence(nonce: string): FenceResult {
    const known = this.fences.get(nonce)
    if (known !== undefined) return { outcome: 'fence', fence: known }
    this.fence += 1
    this.fences.set(nonce, this.fence)
    if (this.fences.size > RECENT_FENCES) this.fences.delete(this.fences.keys().next().value!)
    return { outcome: 'fence', fence: this.fence }
  }
}

function emptyTable(): VersionedTable {
  const table: Table = { endpoints: [], links: [] }
  return { version: 0, digest: digestTable(table), table }
}
