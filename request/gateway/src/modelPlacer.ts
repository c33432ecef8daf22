import type { Millis } from '@forkstage/types'
import type { PromptPart } from './gatewayWire'
import type { PooledEndpoint, SendOutcome } from './endpointPool'

/** A model request as the placement sees it. */
export interface ModelWork {
  request: string
  service: string
  promptTokens: number
  /** The most tokens that may come out. */
  mostTokens: number
  /** The caller's guess of the tokens that come out. */
  hintTokens?: number
  parts: PromptPart[]
  priority: number
  /** Time left until the first event should be there. */
  targetMs: Millis
  /** Instances that are not to be chosen again. */
  except: ReadonlySet<string>
  /** Whether the memory of a prefill step is at hand already. */
  isPrefilled: boolean
}

/** Where a model request goes. */
export interface ModelPlace {
  /** Reads the prompt; where absent the decode engine does. */
  prefill?: PooledEndpoint
  decode: PooledEndpoint
  /** Says that the prompt has been read. */
  notePrefilled: (outcome: SendOutcome, tookMs: Millis) => void
  /** Gives the place back. Called once. */
  release: (outcome: SendOutcome, tookMs: Millis) => void
}

/** A place, or why there is none and when to come back. */
export type PlaceAnswer =
  { type: 'place'; place: ModelPlace } | { type: 'refused'; reason: string; retryAfterMs: Millis }

/** Decides where model requests go. */
export interface ModelPlacer {
  place(work: ModelWork): Promise<PlaceAnswer>
}
