import { assertInvariant } from '@forkstage/error'
import type { Millis } from '@forkstage/types'
import { appendAsLeader, broadcastAppend } from './replicate'
import {
  becomeFollower,
  cancelTransfer,
  isVoter,
  majority,
  otherMembers,
  persistHardState,
  resetElectionDeadline,
  send,
  type RaftState,
} from './raftState'
import type { Member, VoteReply, VoteRequest } from './types'

/**
 * Starts an election with a pre-vote, so that a replica that was cut off from the group does not raise the term.
 * A leadership transfer skips the pre-vote.
 */
export function campaign(state: RaftState, now: Millis, transfer: boolean): void {
  if (!isVoter(state, state.replica)) return
  resetElectionDeadline(state, now)
  if (transfer) startElection(state, now, true)
  else startPreVote(state, now)
}

function startPreVote(state: RaftState, now: Millis): void {
  state.role = 'preCandidate'
  state.leader = null
  state.votes = new Map([[state.replica, true]])
  state.effects.push({ type: 'role', role: 'preCandidate', term: state.term })
  if (countVotes(state) >= majority(state)) return startElection(state, now, false)
  requestVotes(state, { type: 'preVote', term: state.term + 1, transfer: false }, false)
}

function startElection(state: RaftState, now: Millis, transfer: boolean): void {
  state.role = 'candidate'
  state.leader = null
  state.term += 1
  state.votedFor = state.replica
  state.votes = new Map([[state.replica, true]])
  persistHardState(state)
  resetElectionDeadline(state, now)
  state.effects.push({ type: 'role', role: 'candidate', term: state.term })
  if (countVotes(state) >= majority(state)) return becomeLeader(state, now)
  requestVotes(state, { type: 'vote', term: state.term, transfer }, true)
}

function requestVotes(
  state: RaftState,
  request: Pick<VoteRequest, 'type' | 'term' | 'transfer'>,
  afterPersist: boolean,
): void {
  const message: VoteRequest = { ...request, lastIndex: state.log.lastIndex, lastTerm: state.log.lastTerm }
  for (const member of otherMembers(state)) {
    if (isVoter(state, member.replica)) send(state, member, message, afterPersist)
  }
}

/** Replies to a vote or pre-vote request. */
export function handleVoteRequest(state: RaftState, from: Member, request: VoteRequest, now: Millis): void {
  const hasRecentLeaderContact =
    state.role === 'leader' || now - state.leaderContactAt < state.options.electionTimeout
  if (hasRecentLeaderContact && !request.transfer) return replyToVote(state, from, request, false)
  if (request.type === 'preVote') return handlePreVote(state, from, request)
  if (request.term > state.term) becomeFollower(state, request.term, null, now)
  const canVote = state.votedFor === null || state.votedFor === from.replica
  const granted = request.term === state.term && canVote && isUpToDate(state, request)
  if (granted && state.votedFor === null) {
    state.votedFor = from.replica
    persistHardState(state)
  }
  if (granted) resetElectionDeadline(state, now)
  replyToVote(state, from, request, granted)
}

function handlePreVote(state: RaftState, from: Member, request: VoteRequest): void {
  const granted = request.term > state.term && isUpToDate(state, request)
  replyToVote(state, from, request, granted)
}

function replyToVote(state: RaftState, to: Member, request: VoteRequest, granted: boolean): void {
  const type = request.type === 'vote' ? 'voteReply' : 'preVoteReply'
  const term = request.type === 'preVote' && granted ? request.term : state.term
  send(state, to, { type, term, granted }, true)
}

function isUpToDate(state: RaftState, request: VoteRequest): boolean {
  const { lastTerm, lastIndex } = state.log
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm
  return request.lastIndex >= lastIndex
}

/** Counts a reply to a vote or pre-vote request, and acts on a majority of granted ones. */
export function handleVoteReply(state: RaftState, from: Member, message: VoteReply, now: Millis): void {
  const isPreVote = message.type === 'preVoteReply'
  if (!message.granted && message.term > state.term) return becomeFollower(state, message.term, null, now)
  const awaited = isPreVote ? 'preCandidate' : 'candidate'
  const awaitedTerm = isPreVote ? state.term + 1 : state.term
  if (state.role !== awaited) return
  if (message.granted && message.term !== awaitedTerm) return
  state.votes.set(from.replica, message.granted)
  if (countVotes(state) < majority(state)) return
  if (isPreVote) startElection(state, now, false)
  else becomeLeader(state, now)
}

function countVotes(state: RaftState): number {
  const granted = [...state.votes].filter(([replica, isGranted]) => isGranted && isVoter(state, replica))
  return granted.length
}

function becomeLeader(state: RaftState, now: Millis): void {
  assertInvariant(state.role === 'candidate', 'only a candidate becomes leader', () => state.role)
  state.role = 'leader'
  state.leader = state.replica
  state.leaderSince = now
  cancelTransfer(state)
  state.progress.clear()
  state.effects.push({ type: 'role', role: 'leader', term: state.term })
  // A leader commits entries of earlier terms only through an entry of its own term.
  appendAsLeader(state, 'noop', null)
  broadcastAppend(state, now)
}
