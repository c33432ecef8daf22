import { assertInvariant } from '@forkstage/error'
import type { Millis } from '@forkstage/types'
import { becomeFollower, isVoter, majority, otherMembers, send, type RaftState } from './raftState'
import type { AppendReply, LogEntry, Member, Progress } from './types'

/** Appends an entry to the leader's own log, without sending it to the other members. */
export function appendAsLeader(state: RaftState, kind: LogEntry['kind'], data: unknown): LogEntry {
  const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, kind, data }
  state.log.append([entry])
  state.effects.push({ type: 'persist', entries: [entry] })
  return entry
}

/** Sends every other member the entries that it lacks, or a heartbeat. */
export function broadcastAppend(state: RaftState, now: Millis): void {
  state.heartbeatDue = now + state.options.heartbeat
  for (const member of otherMembers(state)) sendAppend(state, member, now, true)
}

/** Sends missing entries to the members whose in-flight limit allows it, without heartbeats. */
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

/** Applies a replica's reply to entries, a heartbeat or a snapshot. */
export function handleAppendReply(state: RaftState, from: Member, reply: AppendReply, now: Millis): void {
  if (reply.term > state.term) return becomeFollower(state, reply.term, null, now)
  if (state.role !== 'leader' || reply.term < state.term) return
  const progress = progressOf(state, from)
  if (progress.lostData) return
  // A lower index proves a loss only in the reply to a message sent after the acknowledgement arrived.
  // Replies to earlier messages may arrive out of order.
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

/** Stops counting a replica whose log ends before an index that it acknowledged: its disk is older or was emptied. */
function markLostData(state: RaftState, from: Member, progress: Progress): void {
  progress.lostData = true
  progress.match = 0
  progress.ackedSentAt = -Infinity
  state.effects.push({ type: 'memberLostData', replica: from.replica })
  send(state, from, { type: 'staleDisk', term: state.term }, false)
}

/** Commits the entries that a majority of voters has synced, if the last of them is of the leader's own term. */
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

/** Commits the entries up to an index and emits them, in order, to be applied to the state machine. */
export function commitTo(state: RaftState, index: number): void {
  const target = Math.min(index, state.log.lastIndex)
  if (target <= state.commitIndex) return
  state.commitIndex = target
  const entries = state.log.slice(state.appliedIndex + 1, target)
  assertInvariant(
    entries.length === target - state.appliedIndex && entries[0]?.index === state.appliedIndex + 1,
    'entries are applied once each and in order',
    () => `from ${state.appliedIndex + 1} to ${target}`,
  )
  state.appliedIndex = target
  state.effects.push({ type: 'apply', entries })
}

/**
 * The start of the lease: the latest time such that a majority of voters has replied to messages sent then or later.
 * -Infinity if this replica is not the leader or is transferring leadership.
 */
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

/** The end of the lease: no other replica can become leader before it. -Infinity without a lease. */
export function leaseUntil(state: RaftState): Millis {
  // The margin allows for clocks that run at slightly different rates.
  return leaseSince(state) + state.options.electionTimeout * LEASE_FRACTION
}

const LEASE_FRACTION = 0.9

/** Steps down if no majority of voters has replied for an election timeout, or if the group has removed this replica. */
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
