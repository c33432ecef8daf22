import type { PromptPart } from '@forkstage/allocator'
import type { Address } from '@forkstage/types'

/** The names under which a deployment's callers and endpoints pass facts in headers, all in lower case. */
export interface HeaderNames {
  requestId: string
  deadlineMs: string
  lastEventId: string
  tokenCounts: string
  lengthHint: string
  /** The parts of a prompt, so that engines know what they keep of it. */
  promptParts: string
  /** Set by an endpoint that did not run the request. */
  notExecuted: string
  /** An endpoint's signature under an answer. */
  stamp: string
  /** The instance that answered. */
  instance: string
  /** Set by an endpoint in need: the requests a second that it takes from all machines together. */
  rateLimit: string
  /** Set by an endpoint in each of its answers once it leaves. */
  leaving: string
  /** Set by the system: the only instance that may run the request. */
  expectInstance: string
  /** Set by the system: which half of a model request is asked for. */
  stage: string
  /** Set by the system: where the memory of a prefill step is fetched. */
  kvSource: string
  /** The key that shows which workspace a caller belongs to; never passed on. */
  key: string
  /** Set by the system: the workspace of the caller's key. */
  workspace: string
}

/** Tokens that a request declares. */
export interface TokenCounts {
  prompt: number
  /** The most that may come out. */
  most: number
}

/** What an engine answers to a prefill step. */
export interface PrefillAnswer {
  handle: string
  tokens: number
}

/** A copy of a running answer's memory. */
export interface MoveAnswer {
  /** Names the copy at the engine that was asked. */
  handle: string
}

/** What callers and endpoints of a deployment speak: names, formats and calls; decisions are elsewhere. */
export interface GatewayWire {
  headers: HeaderNames
  /** Headers that only the system sets, whatever a caller sent. */
  reserved: string[]
  /** The value of the stage header for a prefill step. */
  prefillStage: string
  /** The path at which the balancer asks whether this entry takes callers. */
  readinessPath: string
  /** @returns undefined where the value is no such pair of counts. */
  readTokenCounts(value: string): TokenCounts | undefined
  /** Requests a second. @returns undefined where the value is no such rate. */
  readRateLimit(value: string): number | undefined
  /** Whether the value says that its endpoint leaves. */
  readLeaving(value: string): boolean
  /** @returns undefined where the value names no parts. */
  readPromptParts(value: string): PromptPart[] | undefined
  /** @returns undefined where the body is no such answer. */
  readPrefillAnswer(body: Buffer): PrefillAnswer | undefined
  kvSource(address: string, handle: string): string
  releaseCall(handle: string): { method: string; path: string }
  /**
   * Asks an engine to copy what a running request holds to the engine at another address.
   * @param isLast whether the run stops there, so that it goes on elsewhere.
   */
  moveCall(request: string, to: Address, isLast: boolean): { method: string; path: string; body: Buffer }
  /** @returns undefined where the body names no copy. */
  readMoveAnswer(body: Buffer): MoveAnswer | undefined
}
