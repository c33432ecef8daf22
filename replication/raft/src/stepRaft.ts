import type { Millis } from '@forkstage/types'
import { campaign, handleVoteReply, handleVoteRequest } from './elections'
import { handleAppend, handleSnapshot } from './follow'
import { cancelTransfer, drainEffects, isVoter, type RaftState } from './raftState'
import { continueTransfer, proposeConfig, transferLeadership, type ConfigChange } from './reconfigure'
import {
  advanceCommit,
  appendAsLeader,
  broadcastAppend,
  checkQuorum,
  flushAppends,
  handleAppendReply,
} from './replicate'
import type { Effect, LogEntry, Member, Message, Snapshot } from './types'

/** An event that a replica handles. */
export type RaftEvent =
  | { type: 'tick' }
  | { type: 'message'; from: Member; message: Message }
  /** Proposes commands; only a leader appends them. */
  | { type: 'propose'; commands: unknown[] }
  | { type: 'reconfigure'; change: ConfigChange }
  /** Entries up to `index`, whose term is `term`, are synced to this replica's disk. */
  | { type: 'persisted'; index: number; term: number }
  /** The caller has taken a snapshot of its state machine, so the log can be compacted. */
  | { type: 'compacted'; snapshot: Snapshot }
  | { type: 'transfer' }

/** The result of a step: the effects to perform, and the entries that a proposal appended. */
export interface StepResult {
  effects: Effect[]
  proposed: LogEntry[]
}

/** Applies one event to a replica's state, which changes in no other way. Does no I/O. */
export function stepRaft(state: RaftState, event: RaftEvent, now: Millis): StepResult {
  const proposed = handleEvent(state, event, now)
  return { effects: drainEffects(state), proposed }
}

function handleEvent(state: RaftState, event: RaftEvent, now: Millis): LogEntry[] {
  switch (event.type) {
    case 'tick':
      handleTick(state, now)
      return []
    case 'message':
      handleMessage(state, event.from, event.message, now)
      return []
    case 'propose':
      return propose(state, event.commands, now)
    case 'reconfigure':
      return [proposeConfig(state, event.change, now)]
    case 'persisted':
      handlePersisted(state, event.index, event.term)
      return []
    case 'compacted':
      state.snapshot = event.snapshot
      state.log.compact(event.snapshot.meta)
      return []
    case 'transfer':
      transferLeadership(state, now)
      return []
  }
}

function handleTick(state: RaftState, now: Millis): void {
  if (state.role === 'leader') return tickLeader(state, now)
  if (now >= state.electionDeadline) campaign(state, now, false)
}

function tickLeader(state: RaftState, now: Millis): void {
  if (now >= state.transferDeadline) cancelTransfer(state)
  checkQuorum(state, now)
  if (state.role === 'leader' && now >= state.heartbeatDue) broadcastAppend(state, now)
}

function handleMessage(state: RaftState, from: Member, message: Message, now: Millis): void {
  switch (message.type) {
    case 'vote':
    case 'preVote':
      return handleVoteRequest(state, from, message, now)
    case 'voteReply':
    case 'preVoteReply':
      return handleVoteReply(state, from, message, now)
    case 'append':
      return handleAppend(state, from, message, now)
    case 'appendReply':
      handleAppendReply(state, from, message, now)
      return continueTransfer(state)
    case 'snapshot':
      return handleSnapshot(state, from, message, now)
    case 'timeoutNow':
      if (message.term === state.term && isVoter(state, state.replica)) campaign(state, now, true)
      return
    case 'staleDisk':
      if (message.term >= state.term) state.effects.push({ type: 'staleDisk', leader: from.replica })
  }
}

function propose(state: RaftState, commands: unknown[], now: Millis): LogEntry[] {
  if (state.role !== 'leader' || state.transferTo !== null || state.isTransferPending) return []
  const entries = commands.map((command) => appendAsLeader(state, 'command', command))
  flushAppends(state, now)
  return entries
}

function handlePersisted(state: RaftState, index: number, term: number): void {
  // An entry that was replaced during its sync does not count as persisted.
  if (state.log.termAt(index) !== term) return
  state.persistedIndex = Math.max(state.persistedIndex, index)
  advanceCommit(state)
}
