import type { PromptPart } from '@forkstage/allocator'
import type { InRegion, AllowedRegions } from '@forkstage/topology'
import type { Millis } from '@forkstage/types'
import type { PooledEndpoint } from './pooledEndpoint'
import type { PoolUnavailability } from './poolTypes'
import type { SendOutcome } from './sendOutcome'

/** A model request, as far as its placement depends on it. */
export interface ModelWork {
  request: string
  service: string
  promptTokens: number
  /** The most tokens that the answer may have. */
  mostTokens: number
  /** The caller's estimate of the answer's tokens. */
  hintTokens?: number
  priority: number
  /** Milliseconds until the first event is due. */
  targetMs: Millis
  /** Whether the caller has returned after a refusal or a failure. */
  isReturn: boolean
  /**
   * Milliseconds within which the caller should be refused where no place is in sight; 0 or less where it is too late
   * for that.
   */
  promptMs: Millis
  /** The longest wait for a place, in milliseconds. */
  holdMs: Millis
  /** Milliseconds until the caller gives up. */
  leftMs: Millis
  /** Milliseconds until the caller gives up a stream that stays silent; absent where it does not. */
  patienceMs?: Millis
  /** The longest pause between events that still counts as in time, in milliseconds; absent where none is set. */
  pauseMs?: Millis
  /** Requests of one class have answers of like length. */
  className: string
  /** Instances that are not to be chosen again. */
  except: ReadonlySet<string>
  /** Whether the KV cache of a prefill step is available already. */
  isPrefilled: boolean
  /** Tokens that one engine of the service can hold, by the sheet that admitted the request; absent where unknown. */
  kvTokens?: number
  /** Whether the caller has a part of the answer already, which continues where the request gets a place. */
  isBegun?: boolean
  /** The regions that may serve the request; absent where any may, empty where none may. */
  regions?: AllowedRegions
  /** The parts of the prompt in order; absent where the caller named none. */
  parts?: PromptPart[]
  /** The software version that began the stream, which alone may continue it; absent before its first event. */
  boundVersion?: string
  /** Whether engines of other versions serve too, so that only some may get the request. */
  isConfined?: boolean
}

/** The engines on which a model request is placed. */
export interface ModelPlace {
  /** The engine for the prefill step; absent where the decode engine runs it. */
  prefill?: InRegion<PooledEndpoint>
  decode: InRegion<PooledEndpoint>
  /** Expected duration of the prefill step, in milliseconds; absent where unknown. */
  readsInMs?: Millis
  /** Milliseconds after which another engine should run the prefill instead, while that is still in time. */
  readElsewhereInMs?: Millis
  /** Reports the outcome of the prefill step. */
  reportPrefilled: (outcome: SendOutcome, tookMs: Millis) => void
  /** Reports that the decode engine has sent nothing for this long; the request still waits for it. */
  reportStalled: (forMs: Millis) => void
  /** Returns how many tokens were generated there so far; set by the relay that runs the request. */
  madeTokens?: () => number
  /** Migrates the answer to another engine, where that is possible; set by the relay that runs the request. */
  moveTo?: (to: InRegion<PooledEndpoint>) => void
  /** Reports that the answer continues at another engine, which becomes `decode`. */
  reportMoved: (to: InRegion<PooledEndpoint>) => void
  /** Releases the place, with the number of tokens generated there. To be called once. */
  release: (outcome: SendOutcome, tookMs: Millis, madeTokens: number) => void
}

/** A place, or the reason for a refusal and its backoff. */
export type PlaceAnswer =
  { type: 'place'; place: ModelPlace } | { type: 'refused'; reason: string; retryAfterMs: Millis }

/** Returns the refusal of a request for which no engine accepts requests from this entry. */
export function refusalFor({
  reason,
  retryAfterMs,
}: Pick<PoolUnavailability, 'reason' | 'retryAfterMs'>): PlaceAnswer {
  return { type: 'refused', reason, retryAfterMs }
}

/** Chooses the engines for model requests. */
export interface ModelPlacer {
  place(work: ModelWork): Promise<PlaceAnswer>
}
