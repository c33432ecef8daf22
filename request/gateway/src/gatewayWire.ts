import type { PromptPart } from '@forkstage/allocator'
import type { Address } from '@forkstage/types'

/** Names of the headers between a deployment's callers, entries and endpoints, all in lower case. */
export interface HeaderNames {
  requestId: string
  deadlineMs: string
  lastEventId: string
  /** Set by a caller that continues a stream: the id of the request that brought its first event. */
  resumes: string
  tokenCounts: string
  lengthHint: string
  /** The parts of a prompt, so that engines know which of them they have cached. */
  promptParts: string
  /** Set by an endpoint that did not run the request. */
  notExecuted: string
  /** An endpoint's signature of an answer. */
  stamp: string
  /** The instance that answered. */
  instance: string
  /** Set by an endpoint under strain: the requests per second that it accepts from all machines together. */
  rateLimit: string
  /** Set by an endpoint in each of its answers once it is leaving. */
  leaving: string
  /** Set by the system: the only instance that may run the request. */
  expectInstance: string
  /** Set by the system: which stage of a model request is requested, prefill or decode. */
  stage: string
  /** Set by the system: where to fetch the KV cache of a prefill step. */
  kvSource: string
  /** The key that identifies the caller's workspace; never forwarded. */
  key: string
  /** Set by the system: the workspace of the caller's key. */
  workspace: string
}

/** Tokens that a request declares. */
export interface TokenCounts {
  prompt: number
  /** The most tokens that the answer may have. */
  most: number
}

/** An engine's answer to a prefill step. */
export interface PrefillAnswer {
  handle: string
  tokens: number
}

/** An engine's answer to the request to copy the KV cache of a running request. */
export interface MoveAnswer {
  /** Identifies the copy at the engine that was asked. */
  handle: string
}

/** The wire protocol of a deployment's callers and endpoints: header names, formats and calls. */
export interface GatewayWire {
  headers: HeaderNames
  /** Headers that only the system sets; a caller's values are dropped. */
  reserved: string[]
  /** The value of the stage header for a prefill step. */
  prefillStage: string
  /** The path at which the load balancer checks whether this entry accepts callers. */
  readinessPath: string
  /** @returns undefined where the value is no valid pair of counts. */
  readTokenCounts(value: string): TokenCounts | undefined
  /** @returns requests per second; undefined where the value is no valid rate. */
  readRateLimit(value: string): number | undefined
  /** Whether the value says that its endpoint is leaving. */
  readLeaving(value: string): boolean
  /** @returns undefined where the value names no parts. */
  readPromptParts(value: string): PromptPart[] | undefined
  /** @returns undefined where the body is no answer to a prefill step. */
  readPrefillAnswer(body: Buffer): PrefillAnswer | undefined
  kvSource(address: string, handle: string): string
  releaseCall(handle: string): { method: string; path: string }
  /**
   * Returns the call that asks an engine to copy the KV cache of a running request to the engine at another address.
   * @param isLast whether the run stops there with this copy, to continue elsewhere.
   */
  moveCall(request: string, to: Address, isLast: boolean): { method: string; path: string; body: Buffer }
  /** @returns undefined where the body names no copy. */
  readMoveAnswer(body: Buffer): MoveAnswer | undefined
}
