import { assertInvariant } from '@forkstage/error'
import type { Millis } from '@forkstage/types'
import { becomeFollower, isVoter, majority, otherMembers, send, type RaftState } from './raftState'
import type { AppendReply, LogEntry, Member, Progress } from './types'

/** Appends an entry to the leader's own log; sending it is up to {@link broadcastAppend}. */
export function appendAsLeader(state: RaftState, kind: LogEntry['kind'], data: unknown): LogEntry {
  const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, kind, data }
  state.log.append([entry])
  state.effects.push({ type: 'persist', entries: [entry] })
  return entry
}

/** Sends every other member what it lacks, or a heartbeat. */
export function broadcastAppend(state: RaftState, now: Millis): void {
  state.heartbeatDue = now + state.options.heartbeat
  for (const member of otherMembers(state)) sendAppend(state, member, now, true)
}

/** Sends members that have room what they lack, without heartbeats. */
export function flushAppends(state: RaftState, now: Millis): void {
  if (state.role !== 'leader') return
  for (const member of otherMembers(state)) sendAppend(state, member, now, false)
}

function sendAppend(state: RaftState, member: Member, now: Millis, heartbeat: boolean): void {
  const progress = progressOf(state, member)
  if (progress.next <= state.log.snapshot.index) return sendSnapshot(state, member, progress, now)
  const hasRoom = progress.inFlight < (progress.probing ? 1 : state.options.maxInFlight)
  const last = progress.next + state.options.maxEntriesPerMessage - 1
  const entries = hasRoom ? state.log.slice(progress.next, last) : []
  if (entries.length === 0 && !heartbeat) return
  const prevIndex = progress.next - 1
  const prevTerm = state.log.termAt(prevIndex) ?? 0
  const message = {
    type: 'append' as const,
    term: state.term,
    prevIndex,
    prevTerm,
    entries,
    commit: state.commitIndex,
    sentAt: now,
  }
  send(state, member, message, false)
  if (entries.length === 0) return
  progress.inFlight += 1
  if (!progress.probing) progress.next += entries.length
}

function sendSnapshot(state: RaftState, member: Member, progress: Progress, now: Millis): void {
  const resendAfter = state.options.electionTimeout * 5
  const waiting = progress.snapshotSentAt !== undefined && now - progress.snapshotSentAt < resendAfter
  if (waiting) return
  progress.snapshotSentAt = now
  send(state, member, { type: 'snapshot', term: state.term, snapshot: state.snapshot, sentAt: now }, false)
}

export function progressOf(state: RaftState, member: Member): Progress {
  const known = state.progress.get(member.replica)
  if (known !== undefined) return known
  const fresh: Progress = {
    match: 0,
    matchKnownAt: -Infinity,
    next: state.log.lastIndex + 1,
    ackedSentAt: -Infinity,
    inFlight: 0,
    probing: true,
    lostData: false,
  }
  state.progress.set(member.replica, fresh)
  return fresh
}

/** Takes a replica's answer to entries, to a heartbeat or to a snapshot. */
export function handleAppendReply(state: RaftState, from: Member, reply: AppendReply, now: Millis): void {
  if (reply.term > state.term) return becomeFollower(state, reply.term, null, now)
  if (state.role !== 'leader' || reply.term < state.term) return
  const progress = progressOf(state, from)
  if (progress.lostData) return
  // Only a message sent after the acknowledgement came proves a loss: earlier ones may have been reordered.
  const hasRegressed = reply.lastIndex < progress.match && reply.sentAt > progress.matchKnownAt
  if (hasRegressed) return markLostData(state, from, progress)
  progress.ackedSentAt = Math.max(progress.ackedSentAt, reply.sentAt)
  progress.inFlight = Math.max(0, progress.inFlight - 1)
  progress.snapshotSentAt = undefined
  if (reply.success) {
    if (reply.matchIndex > progress.match) progress.matchKnownAt = now
    progress.match = Math.max(progress.match, reply.matchIndex)
    progress.next = Math.max(progress.next, progress.match + 1)
    progress.probing = false
    advanceCommit(state)
  } else {
    progress.probing = true
    progress.inFlight = 0
    progress.next = Math.max(progress.match + 1, Math.min(reply.matchIndex + 1, state.log.lastIndex + 1))
  }
  if (progress.next <= state.log.lastIndex) sendAppend(state, from, now, false)
}

/** A replica that answers with less than it once acknowledged runs on an older or emptied disk. */
function markLostData(state: RaftState, from: Member, progress: Progress): void {
  progress.lostData = true
  progress.match = 0
  progress.ackedSentAt = -Infinity
  state.effects.push({ type: 'memberLostData', replica: from.replica })
  send(state, from, { type: 'staleDisk', term: state.term }, false)
}

/** Commits what a majority of voters has synced, if it is of the leader's own term. */
export function advanceCommit(state: RaftState): void {
  if (state.role !== 'leader') return
  const synced = state.log.config.voters.map((voter) =>
    voter.replica === state.replica ? state.persistedIndex : (state.progress.get(voter.replica)?.match ?? 0),
  )
  synced.sort((left, right) => right - left)
  const index = synced[majority(state) - 1] ?? 0
  if (index <= state.commitIndex) return
  if (state.log.termAt(index) !== state.term) return
  commitTo(state, index)
}

/** Marks entries committed and hands them to the state machine, in order. */
export function commitTo(state: RaftState, index: number): void {
  const target = Math.min(index, state.log.lastIndex)
  if (target <= state.commitIndex) return
  state.commitIndex = target
  const entries = state.log.slice(state.appliedIndex + 1, target)
  assertInvariant(
    entries.length === target - state.appliedIndex && entries[0]?.index === state.appliedIndex + 1,
    'entries are applied in order, each once',
    () => `from ${state.appliedIndex + 1} to ${target}`,
  )
  state.appliedIndex = target
  state.effects.push({ type: 'apply', entries })
}

/** When the message was sent that a majority has answered last, or -Infinity where this replica does not lead. */
export function leaseSince(state: RaftState): Millis {
  if (state.role !== 'leader' || state.transferTo !== null) return -Infinity
  const ackedSentAts = state.log.config.voters.map((voter) =>
    voter.replica === state.replica
      ? Infinity
      : (state.progress.get(voter.replica)?.ackedSentAt ?? -Infinity),
  )
  ackedSentAts.sort((left, right) => right - left)
  return ackedSentAts[majority(state) - 1] ?? -Infinity
}

/** The time up to which no other replica can have become leader, or -Infinity without a lease. */
export function leaseUntil(state: RaftState): Millis {
  // The margin covers clocks that run at slightly different rates.
  return leaseSince(state) + state.options.electionTimeout * LEASE_FRACTION
}

const LEASE_FRACTION = 0.9

/** Steps down when a majority has not been heard for an election timeout. */
export function checkQuorum(state: RaftState, now: Millis): void {
  if (state.role !== 'leader') return
  const { electionTimeout } = state.options
  if (now - state.leaderSince < electionTimeout) return
  const responsive = state.log.config.voters.filter((voter) => {
    if (voter.replica === state.replica) return true
    const acked = state.progress.get(voter.replica)?.ackedSentAt ?? -Infinity
    return now - acked < electionTimeout
  })
  const hasQuorum = responsive.length >= majority(state)
  const removed = !isVoter(state, state.replica) && state.commitIndex >= state.log.configIndex
  if (!hasQuorum || removed) becomeFollower(state, state.term, null, now)
}
