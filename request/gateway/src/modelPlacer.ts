import type { PromptPart } from '@forkstage/allocator'
import type { AtHome, Homes } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PoolUnavailability, PooledEndpoint, SendOutcome } from './endpointPool'

/** A model request as the placement sees it. */
export interface ModelWork {
  request: string
  service: string
  promptTokens: number
  /** The most tokens that may come out. */
  mostTokens: number
  /** The caller's guess of the tokens that come out. */
  hintTokens?: number
  priority: number
  /** Time left until the first event should be there. */
  targetMs: Millis
  /** Whether its caller has come back after a refusal or a failure. */
  isReturn: boolean
  /** By when it should hear that no place is in sight; 0 or less where it is too late for that. */
  promptMs: Millis
  /** The longest it may wait for a place. */
  holdMs: Millis
  /** Time left until its caller gives up. */
  leftMs: Millis
  /** Time left until its caller gives up a stream that stays silent; absent where it waits on. */
  patienceMs?: Millis
  /** The longest pause between events that still counts as in time; absent where none is set. */
  pauseMs?: Millis
  /** Requests of one class have answers of like length. */
  className: string
  /** Instances that are not to be chosen again. */
  except: ReadonlySet<string>
  /** Whether the memory of a prefill step is at hand already. */
  isPrefilled: boolean
  /** Tokens that one engine of its service holds, by the sheet that it came under; absent where that is not known. */
  kvTokens?: number
  /** Whether its caller has a part of its answer, which goes on where it gets a place. */
  isBegun?: boolean
  /** The regions that it may be served in; absent where any will do. Empty where none will. */
  regions?: Homes
  /** The parts of its prompt in order; absent where its caller named none. */
  parts?: PromptPart[]
}

/** Where a model request goes. */
export interface ModelPlace {
  /** Reads the prompt; where absent the decode engine does. */
  prefill?: AtHome<PooledEndpoint>
  decode: AtHome<PooledEndpoint>
  /** How long the prefill step is expected to take, in milliseconds; absent where nobody knows. */
  readsInMs?: Millis
  /** After how long another engine should read the prompt instead, while that is still in time. */
  readElsewhereInMs?: Millis
  /** Says that the prompt has been read. */
  reportPrefilled: (outcome: SendOutcome, tookMs: Millis) => void
  /** The decode engine has made nothing for so long; it is not given up yet. */
  reportStalled: (forMs: Millis) => void
  /** Tells how many tokens have been made there so far; set by whoever runs the request. */
  madeTokens?: () => number
  /** Lets the answer go on at another engine, where that is possible; set by whoever runs the request. */
  moveTo?: (to: AtHome<PooledEndpoint>) => void
  /** Says that the answer goes on at another engine; `decode` is that one then. */
  reportMoved: (to: AtHome<PooledEndpoint>) => void
  /** Gives the place back, with the tokens made there. Called once. */
  release: (outcome: SendOutcome, tookMs: Millis, madeTokens: number) => void
}

/** A place, or why there is none and when to come back. */
export type PlaceAnswer =
  { type: 'place'; place: ModelPlace } | { type: 'refused'; reason: string; retryAfterMs: Millis }

/** A refusal where every engine that could take a request wants nothing from here. */
export function refusalFor({ reason, retryAfterMs }: PoolUnavailability): PlaceAnswer {
  return { type: 'refused', reason, retryAfterMs }
}

/** Decides where model requests go. */
export interface ModelPlacer {
  place(work: ModelWork): Promise<PlaceAnswer>
}
