import type { InstanceId } from '@forkstage/directory'
import type { Homes } from '@forkstage/topology'
import type { FailureDomain, Millis } from '@forkstage/types'

/** A part of a prompt, which an engine that has read it may keep. */
export interface PromptPart {
  /** Names the part's content: the same id is the same text. */
  id: string
  tokens: number
}

/** A model request that wants a place. */
export interface PlaceAsk {
  request: string
  /** The entry that relays it. */
  entry: string
  /** The failure domain of that entry; absent where the entry does not tell it. */
  entryDomain?: FailureDomain
  service: string
  /** Requests of one class have answers of like length. */
  className: string
  promptTokens: number
  mostTokens: number
  hintTokens?: number
  /** Rank of its route; 0 is the most urgent. */
  priority: number
  /** Time left until its first event should be there; below 0 for one that is late already. */
  targetMs: Millis
  /** Whether its caller has come back after a refusal or a failure. */
  isReturn: boolean
  /** By when it should hear that no place is in sight; 0 or less where it is too late for that. */
  promptMs: Millis
  /** The longest it may be held for a place. */
  holdMs: Millis
  /** Time left until its caller gives up. */
  leftMs: Millis
  /** Time left until its caller gives up a stream that stays silent; absent where it waits on. */
  patienceMs?: Millis
  /** The longest pause between events that still counts as in time; absent where none is set. */
  pauseMs?: Millis
  except: InstanceId[]
  /** Engines that want nothing from its entry now, whatever is believed of them here; absent where there are none. */
  avoid?: InstanceId[]
  isPrefilled: boolean
  /** Whether its caller has a part of its answer, which goes on where it gets a place. */
  isBegun?: boolean
  /** The regions that it may be served in; absent where any will do. Empty where none will. */
  regions?: Homes
  /** The parts of its prompt in order; absent where its caller named none. */
  parts?: PromptPart[]
}

/** Where a request goes. */
export interface Placed {
  type: 'placed'
  /** Absent where the decode engine reads the prompt itself. */
  prefill?: InstanceId
  decode: InstanceId
  /** How long the prefill step is expected to take, what waits before it included, in milliseconds. */
  readsInMs?: Millis
  /**
   * After how long the prefill step should be given up, so that another engine can still read the prompt in time;
   * absent where that is not possible anyway.
   */
  readElsewhereInMs?: Millis
  /** Tokens of its prompt that need not be read, as is believed; absent where there are none. */
  keptTokens?: number
  /** Present where an engine is cold: such a step was counted and may leave until then only. */
  cold?: StepGrant
  /** Present where an engine names the rate that it takes: such a step was counted and may leave until then only. */
  limited?: StepGrant
}

/** Within how long of the decision steps that were counted leave. Clocks need not agree. */
export interface StepGrant {
  /** How long the request had waited at whoever decided, so that its entry knows when that was at the earliest. */
  waitedMs: Millis
  /** Absent where nothing binds the engine or there is no such step. */
  prefillMs?: Millis
  decodeMs?: Millis
}

/** Why a request gets no place, and when to come back. */
export interface Refused {
  type: 'refused'
  reason: string
  retryAfterMs: Millis
}

/** What becomes of a request that asked. */
export type PlaceDecision = Placed | Refused

/** A place that is taken. */
export interface Hold {
  ask: PlaceAsk
  prefill?: InstanceId
  decode: InstanceId
  placedAt: Millis
  /** Whether its prompt is read without waiting for another, so that the time it takes tells the pace. */
  isReadAlone?: boolean
  /** Tokens of its prompt that have to be read where it is read, as is believed; absent where that is all of them. */
  readTokens?: number
  /** When decoding began, or will begin where the decode engine reads; absent while a prefill engine reads. */
  decodingAt?: Millis
  /** Tokens made so far, as the entry said last: when that was heard, and how long decoding had gone on by its clock. */
  made?: { tokens: number; at: Millis; forMs: Millis }
  /** Whether another one placed it, with another view of what waits at engines. */
  isAdopted?: boolean
  /** The engine that it is to leave for `decode`, until its entry reports it there. */
  leaves?: { from: InstanceId; since: Millis }
}

/** A running answer that should go on at another engine. */
export interface AnswerMove {
  request: string
  to: InstanceId
}

/** What the leader answers to a report. */
export interface ReportAnswer {
  moves: AnswerMove[]
}

/** A place as an entry reports it, with times as ages so that clocks need not agree. */
export interface ReportedHold {
  ask: PlaceAsk
  prefill?: InstanceId
  decode: InstanceId
  ageMs: Millis
  decodingForMs?: Millis
  /** Tokens made so far; absent before the first. */
  madeTokens?: number
}

/**
 * How the use of an instance ended. `silent`: it was given up here for want of an answer in time, which may as well
 * be the fault of a queue that was built here.
 */
export type UseOutcome = 'ok' | 'failed' | 'silent' | 'unreachable' | 'other-instance' | 'full' | 'cancelled'
