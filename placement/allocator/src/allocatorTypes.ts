import type { InstanceId } from '@forkstage/directory'
import type { AllowedRegions } from '@forkstage/topology'
import type { FailureDomain, Millis } from '@forkstage/types'

/** A part of a prompt. An engine that has prefilled a part may keep it in its prefix cache. */
export interface PromptPart {
  /** Identifies the content of the part: equal ids mean equal text. */
  id: string
  tokens: number
}

/** A request to place one model request on engines. */
export interface PlaceAsk {
  request: string
  /** The entry that relays the request. */
  entry: string
  /** The failure domain of that entry; absent if the entry does not report one. */
  entryDomain?: FailureDomain
  service: string
  /** Class for length forecasts: requests of one class have answers of similar length. */
  className: string
  promptTokens: number
  mostTokens: number
  hintTokens?: number
  /** Priority of its route; 0 is the most urgent. */
  priority: number
  /** Time left until the first event is due; negative for a request that is already late. */
  targetMs: Millis
  /** Whether the caller retries after a refusal or a failure. */
  isReturn: boolean
  /** Time within which a request without a placement in sight is refused; 0 or less if it is too late for that. */
  promptMs: Millis
  /** The longest time that the request may wait for a placement. */
  holdMs: Millis
  /** Time left until the caller gives up. */
  leftMs: Millis
  /** Time left until the caller gives up on a silent stream; absent if the caller sets no such limit. */
  patienceMs?: Millis
  /** The longest pause between events that still counts as in time; absent if no limit is set. */
  pauseMs?: Millis
  except: InstanceId[]
  /** Engines that accept nothing from this entry now, whatever their state here; absent if there are none. */
  avoid?: InstanceId[]
  isPrefilled: boolean
  /** Whether the caller already has a part of the answer, which continues at the new placement. */
  isBegun?: boolean
  /** Regions that may serve the request; absent if any may. An empty list allows none. */
  regions?: AllowedRegions
  /** The parts of the prompt in order; absent if the caller named none. */
  parts?: PromptPart[]
  /** The software version that began the stream, which alone may continue it; absent before its first event. */
  boundVersion?: string
  /** Whether engines of other versions serve too, so that only some may get the request. */
  isConfined?: boolean
}

/** The engines on which a request was placed. */
export interface Placed {
  type: 'placed'
  /** Absent if the decode engine prefills the prompt itself. */
  prefill?: InstanceId
  decode: InstanceId
  /** Expected duration of the prefill step, including its time in the queue, in milliseconds. */
  readsInMs?: Millis
  /**
   * Time after which to abandon the prefill step, in milliseconds, so that another engine can still prefill the
   * prompt in time; absent if that is not possible.
   */
  readElsewhereInMs?: Millis
  /** Prompt tokens that are believed to be cached and need no prefill; absent if there are none. */
  keptTokens?: number
  /** Present if an engine is cold: its step counts against a budget and may be sent only within the granted time. */
  cold?: StepGrant
  /**
   * Present if an engine names a rate limit: its step counts against the limit and may be sent only within the
   * granted time.
   */
  limited?: StepGrant
}

/** How soon after the decision counted steps must be sent. Durations, since clocks may differ. */
export interface StepGrant {
  /** How long the request had waited at the allocator: tells its entry the earliest time of the decision. */
  waitedMs: Millis
  /** Absent if the engine has neither budget nor limit, or if there is no such step. */
  prefillMs?: Millis
  decodeMs?: Millis
}

/** Why a request was not placed, and when its caller should retry. */
export interface Refused {
  type: 'refused'
  reason: string
  retryAfterMs: Millis
}

/** The result of a placement request. */
export type PlaceDecision = Placed | Refused

/** A placement in force, which holds memory on its engines. */
export interface Hold {
  ask: PlaceAsk
  prefill?: InstanceId
  decode: InstanceId
  placedAt: Millis
  /** Whether the prompt is prefilled without waiting for another, so that the duration shows the engine's pace. */
  isReadAlone?: boolean
  /** Prompt tokens that are believed not to be cached where the prompt is prefilled; absent if none are cached. */
  readTokens?: number
  /** When decoding began, or will begin after a local prefill; absent while a prefill engine has the prompt. */
  decodingAt?: Millis
  /** Tokens generated as of the last report: when it arrived, and how long decoding had run by the entry's clock. */
  made?: { tokens: number; at: Millis; forMs: Millis }
  /** Whether another allocator placed the request, with its own view of the engines' queues. */
  isAdopted?: boolean
  /** The engine that the answer leaves for `decode`; absent once its entry reports the answer there. */
  leaves?: { from: InstanceId; since: Millis }
}

/** A running answer that should continue on another engine. */
export interface AnswerMove {
  request: string
  to: InstanceId
}

/** The leader's response to a report. */
export interface ReportAnswer {
  moves: AnswerMove[]
  /** The term that now has the origins of the entry's streams; absent at a leader of an earlier build. */
  term?: number
}

/** A hold as an entry reports it. Times are sent as ages, since clocks may differ. */
export interface ReportedHold {
  ask: PlaceAsk
  prefill?: InstanceId
  decode: InstanceId
  ageMs: Millis
  decodingForMs?: Millis
  /** Tokens generated so far; absent before the first. */
  madeTokens?: number
}

/**
 * How the use of an instance ended. `silent`: the entry gave up because no answer came in time, which a queue of our
 * own requests may also have caused.
 */
export type UseOutcome = 'ok' | 'failed' | 'silent' | 'unreachable' | 'other-instance' | 'full' | 'cancelled'
