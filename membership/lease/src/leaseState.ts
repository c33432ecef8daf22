import type { HeartbeatAnswer, Members, TableUpdate } from '@forkstage/control'
import { assertInvariant } from '@forkstage/error'
import type { GroupConfig, ReplicaId } from '@forkstage/raft'
import { applyDelta } from '@forkstage/table'
import type { Millis, VersionedTable } from '@forkstage/types'

/** The last answer of one control replica. */
interface LastAnswer {
  sentAt: Millis
  newestVersion: number
  newestConfigIndex: number
}

/** A box's table, what its lease follows from, and the list of live boxes. Does no I/O. */
export interface LeaseState {
  table: VersionedTable
  config?: GroupConfig
  configIndex: number
  members: Members
  answers: Map<ReplicaId, LastAnswer>
  /** When the latest heartbeat was sent that a leader with a lease answered without a newer table. */
  leaderSentAt: Millis
}

/** What changed when an answer was applied. */
export interface LeaseChange {
  installed: boolean
  members: boolean
}

export function createLeaseState(empty: VersionedTable): LeaseState {
  const members: Members = { version: [0, 0], boxes: [], leaving: [] }
  return { table: empty, configIndex: -1, members, answers: new Map(), leaderSentAt: -Infinity }
}

/** Applies a control replica's answer to a heartbeat sent at `sentAt`; returns what changed. */
export function applyAnswer(state: LeaseState, answer: HeartbeatAnswer, sentAt: Millis): LeaseChange {
  const installed = answer.update !== undefined && installUpdate(state, answer.update)
  if (answer.config !== undefined && answer.newestConfigIndex > state.configIndex) {
    state.config = answer.config
    state.configIndex = answer.newestConfigIndex
  }
  const last = state.answers.get(answer.replica)
  if (last === undefined || sentAt >= last.sentAt) {
    const { newestVersion, newestConfigIndex } = answer
    state.answers.set(answer.replica, { sentAt, newestVersion, newestConfigIndex })
  }
  const leaderAgrees = answer.holdsLease && answer.acceptedVersion <= state.table.version
  if (leaderAgrees) state.leaderSentAt = Math.max(state.leaderSentAt, sentAt)
  return { installed, members: applyMembers(state, answer.members) }
}

/**
 * The latest time at which the table is known to have been the newest; -Infinity if there is none. It is the
 * later of two sending times: that of the oldest heartbeat among a majority of voters without a newer table,
 * and that of the latest heartbeat that the leader confirmed. Two majorities share a replica, so no table
 * accepted before that time can have been missed.
 */
export function knownNewestSince(state: LeaseState): Millis {
  return Math.max(state.leaderSentAt, majoritySentAt(state))
}

function majoritySentAt(state: LeaseState): Millis {
  const voters = state.config?.voters ?? []
  if (voters.length === 0) return -Infinity
  const sent = voters.map((voter) => {
    const answer = state.answers.get(voter.replica)
    const agrees =
      answer !== undefined &&
      answer.newestVersion <= state.table.version &&
      answer.newestConfigIndex <= state.configIndex
    return agrees ? answer.sentAt : -Infinity
  })
  sent.sort((left, right) => right - left)
  return sent[Math.floor(voters.length / 2)] ?? -Infinity
}

function installUpdate(state: LeaseState, update: TableUpdate): boolean {
  const before = state.table.version
  if (update.type === 'full') {
    if (update.version > before)
      state.table = { version: update.version, digest: update.digest, table: update.table }
  } else {
    for (const step of update.steps) installStep(state, step)
  }
  assertInvariant(state.table.version >= before, 'a box never installs a lower version', () => `${before}`)
  return state.table.version > before
}

function installStep(
  state: LeaseState,
  step: Extract<TableUpdate, { type: 'steps' }>['steps'][number],
): void {
  // Answers may arrive out of order. A step that does not follow directly is requested again.
  if (step.version !== state.table.version + 1) return
  state.table = {
    version: step.version,
    digest: step.digest,
    table: applyDelta(state.table.table, step.delta),
  }
}

function applyMembers(state: LeaseState, members: Members | undefined): boolean {
  if (members === undefined) return false
  const [term, count] = members.version
  const [knownTerm, knownCount] = state.members.version
  const newer = term > knownTerm || (term === knownTerm && count > knownCount)
  if (newer) state.members = members
  return newer
}
