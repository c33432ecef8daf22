import { assertInvariant } from '@forkstage/error'
import type { Millis } from '@forkstage/types'
import { becomeFollower, resetElectionDeadline, send, type RaftState } from './raftState'
import { commitTo } from './replicate'
import type { AppendReply, AppendRequest, InstallSnapshot, LogEntry, Member } from './types'

/** Appends the entries that a leader sent, or handles its heartbeat. */
export function handleAppend(state: RaftState, from: Member, request: AppendRequest, now: Millis): void {
  if (request.term < state.term) return replyToAppend(state, from, request.sentAt, false, 0)
  followLeader(state, from, request.term, now)
  if (request.prevIndex < state.log.snapshot.index)
    return replyToAppend(state, from, request.sentAt, true, state.log.snapshot.index)
  if (state.log.termAt(request.prevIndex) !== request.prevTerm) return rejectAppend(state, from, request)
  mergeEntries(state, request.entries)
  const match = request.prevIndex + request.entries.length
  commitTo(state, Math.min(request.commit, match))
  replyToAppend(state, from, request.sentAt, true, match)
}

function followLeader(state: RaftState, from: Member, term: number, now: Millis): void {
  const isSecondLeader = state.role === 'leader' && term === state.term
  assertInvariant(
    !isSecondLeader,
    'at most one leader per term',
    () => `${from.replica} and ${state.replica} in term ${term}`,
  )
  const sameTerm = term === state.term && state.leader !== null
  assertInvariant(
    !sameTerm || state.leader === from.replica,
    'at most one leader per term',
    () => `${state.leader} and ${from.replica}`,
  )
  if (term > state.term || state.role !== 'follower') becomeFollower(state, term, from.replica, now)
  state.leader = from.replica
  state.leaderContactAt = now
  resetElectionDeadline(state, now)
}

function rejectAppend(state: RaftState, from: Member, request: AppendRequest): void {
  const { log } = state
  const hint = Math.min(log.lastIndex, request.prevIndex - 1)
  const conflicting = log.termAt(Math.min(request.prevIndex, log.lastIndex))
  let index = hint
  // Skips the whole conflicting term at once instead of one entry per round trip.
  while (index > state.commitIndex && log.termAt(index) === conflicting) index -= 1
  replyToAppend(state, from, request.sentAt, false, Math.max(index, state.commitIndex))
}

/** Appends the entries that the log lacks, after truncating those that conflict with the leader's log. */
function mergeEntries(state: RaftState, entries: LogEntry[]): void {
  const { log } = state
  const firstNew = entries.findIndex(
    (entry) => log.termAt(entry.index) !== entry.term && entry.index > log.snapshot.index,
  )
  if (firstNew < 0) return
  const fresh = entries.slice(firstNew)
  const start = fresh[0]!.index
  const truncates = start <= log.lastIndex
  if (truncates) {
    assertInvariant(
      start > state.commitIndex,
      'committed entries are never truncated',
      () => `${start} of ${state.commitIndex}`,
    )
    log.truncateFrom(start)
    state.persistedIndex = Math.min(state.persistedIndex, start - 1)
  }
  log.append(fresh)
  state.effects.push({ type: 'persist', truncateFrom: truncates ? start : undefined, entries: fresh })
}

/** Replaces the log with the leader's snapshot, unless the log covers the snapshot already. */
export function handleSnapshot(state: RaftState, from: Member, message: InstallSnapshot, now: Millis): void {
  if (message.term < state.term) return replyToAppend(state, from, message.sentAt, false, 0)
  followLeader(state, from, message.term, now)
  const { meta } = message.snapshot
  if (meta.index <= state.commitIndex)
    return replyToAppend(state, from, message.sentAt, true, state.commitIndex)
  if (state.log.termAt(meta.index) === meta.term) {
    // The log contains the last entry of the snapshot. Later entries may be acknowledged and must stay.
    commitTo(state, meta.index)
    return replyToAppend(state, from, message.sentAt, true, meta.index)
  }
  state.log.reset(meta)
  state.snapshot = message.snapshot
  state.commitIndex = meta.index
  state.appliedIndex = meta.index
  state.persistedIndex = meta.index
  state.effects.push({ type: 'saveSnapshot', snapshot: message.snapshot })
  state.effects.push({ type: 'restore', snapshot: message.snapshot })
  replyToAppend(state, from, message.sentAt, true, meta.index)
}

function replyToAppend(
  state: RaftState,
  to: Member,
  sentAt: Millis,
  success: boolean,
  matchIndex: number,
): void {
  const reply: AppendReply = {
    type: 'appendReply',
    term: state.term,
    success,
    matchIndex,
    lastIndex: state.log.lastIndex,
    sentAt,
  }
  send(state, to, reply, true)
}
