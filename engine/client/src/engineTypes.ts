import type { EndpointName, Millis, RequestId } from '@forkstage/types'

/** Identifies one attempt of one request to an engine. A higher epoch fences all lower ones. */
export interface AttemptId {
  request: RequestId
  epoch: number
}

/** A prompt as an engine takes it. */
export interface EnginePrompt {
  model: string
  /** The request body of the caller, as parsed. */
  body: unknown
  tokens: number
  /** Hashes of the prompt's prefixes, one a block, each covering all text before it. */
  blocks: string[]
  priority: number
}

/** A prefill result that is kept for a short while. */
export interface PrefillResult {
  /** Tokens that came from the prefix cache. */
  cachedTokens: number
  /** How long the engine keeps the result. */
  keepMs: Millis
}

/** Where a decode engine fetches the prompt's KV cache. */
export interface KvSource {
  endpoint: EndpointName
  address: string
  /** The link between the two failure domains, as `from>to`. */
  link: string
}

/** Starts decoding in a slot that was reserved before. */
export interface DecodeParams {
  prompt: EnginePrompt
  maxTokens: number
  /** Same seed, same answer: lets a lost stream be made again. */
  seed: number
  /** Absent where the engine made the prefill itself. */
  source?: KvSource
  kvBytes: number
  /** The rate of the link between the two, in bytes a millisecond. */
  linkBytesPerMs: number
}

/** One line of a decode stream. */
export type EngineLine =
  | { type: 'transfer'; moved: number; total: number }
  | { type: 'token'; request: RequestId; epoch: number; seq: number; text: string }
  /** `seq` is the number of tokens before it: the answer is whole once all of them are there. */
  | { type: 'end'; request: RequestId; epoch: number; seq: number; finish: string }

/** What an engine says of its load; late by its own account of `at`. */
export interface EngineReport {
  /** When the figures were taken, in milliseconds before the answer. */
  ageMs: Millis
  queuedPrefillTokens: number
  prefillTokensPerSecond: number
  runningStreams: number
  kvTokensUsed: number
  kvTokensTotal: number
  /** The duration of the last decode steps on average. */
  stepMs: Millis
  leaving: boolean
  /** Whether an answer can be made again from its seed. */
  deterministic: boolean
}

/** What an engine holds for one request. */
export interface EngineHold {
  request: RequestId
  epoch: number
  kind: 'prefill' | 'slot' | 'stream' | 'transfer'
  tokens: number
  ageMs: Millis
}

/** One change of an engine's prefix cache. */
export interface CacheEvent {
  seq: number
  type: 'added' | 'evicted'
  block: string
}

/** An order to an engine, fenced: a lower fence than the last one taken is refused. */
export interface EngineOrder {
  fence: number
  action: 'loadModel' | 'loadAdapter' | 'setVersion' | 'setRole'
  argument: string
}
