import type { HeartbeatAnswer, Members, TableUpdate } from '@forkstage/control'
import { assertInvariant } from '@forkstage/error'
import type { GroupConfig, ReplicaId } from '@forkstage/raft'
import { applyDelta } from '@forkstage/table'
import type { Millis, VersionedTable } from '@forkstage/types'

/** What one replica last answered. */
interface LastAnswer {
  sentAt: Millis
  newestVersion: number
  newestConfigIndex: number
}

/** An entry's table, its lease on it, and the list of live boxes. Does no I/O. */
export interface LeaseState {
  table: VersionedTable
  config?: GroupConfig
  configIndex: number
  members: Members
  answers: Map<ReplicaId, LastAnswer>
  /** Sending time of the newest question that a leader with a lease answered with nothing newer. */
  leaderSentAt: Millis
}

/** What an answer changed. */
export interface LeaseChange {
  installed: boolean
  members: boolean
}

export function createLeaseState(empty: VersionedTable): LeaseState {
  const members: Members = { version: [0, 0], boxes: [], leaving: [] }
  return { table: empty, configIndex: -1, members, answers: new Map(), leaderSentAt: -Infinity }
}

/** Takes a control replica's answer to a question sent at `sentAt`. */
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
 * Since when the table is known to be the newest: the sending time of the oldest question among a
 * majority of voters that hold nothing newer, or of the leader's own word. Two majorities share a
 * replica, so no table accepted before that moment can have been missed.
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
  assertInvariant(state.table.version >= before, 'an entry never installs a lower version', () => `${before}`)
  return state.table.version > before
}

function installStep(
  state: LeaseState,
  step: Extract<TableUpdate, { type: 'steps' }>['steps'][number],
): void {
  // Answers may overtake each other; a step that does not follow on is asked for again.
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
