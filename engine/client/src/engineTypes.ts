import type { EndpointName, Millis, RequestId } from '@forkstage/types'

/** Identifies one attempt of one request to an engine. A higher epoch fences all lower ones. */
export interface AttemptId {
  request: RequestId
  epoch: number
}

/** A prompt in the form that engines accept. */
export interface EnginePrompt {
  model: string
  /** The caller's request body, parsed. */
  body: unknown
  tokens: number
  /** Hashes of the prompt's prefixes, one per block; each covers its block and all text before it. */
  blocks: string[]
  priority: number
}

/** A prefill result, which the engine keeps for a limited time. */
export interface PrefillResult {
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number
  /** How long the engine keeps the result. */
  keepMs: Millis
}

/** The prefill engine from which a decode engine fetches the prompt's KV cache. */
export interface KvSource {
  endpoint: EndpointName
  address: string
  /** The link between the two failure domains, as `from>to`. */
  link: string
}

/** Parameters of decoding in a slot that was reserved before. */
export interface DecodeParams {
  prompt: EnginePrompt
  maxTokens: number
  /** The same seed gives the same answer, so that a lost stream can be generated again. */
  seed: number
  /** Undefined when the decode engine ran the prefill itself. */
  source?: KvSource
  kvBytes: number
  /** Rate of the link from the source to the decode engine, in bytes per millisecond. */
  linkBytesPerMs: number
}

/** One line of a decode stream. */
export type EngineLine =
  | { type: 'transfer'; moved: number; total: number }
  | { type: 'token'; request: RequestId; epoch: number; seq: number; text: string }
  /** `seq` is the number of tokens in the answer, which is complete once all of them have arrived. */
  | { type: 'end'; request: RequestId; epoch: number; seq: number; finish: string }

/** An engine's report of its own load; the figures are already `ageMs` old when it is sent. */
export interface EngineReport {
  /** Age of the figures when the engine answered. */
  ageMs: Millis
  queuedPrefillTokens: number
  prefillTokensPerSecond: number
  runningStreams: number
  kvTokensUsed: number
  kvTokensTotal: number
  /** Mean duration of recent decode steps. */
  stepMs: Millis
  leaving: boolean
  /** Whether the same seed reproduces an answer. */
  deterministic: boolean
}

/** A resource that an engine holds for a request. */
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

/** A fenced order to an engine, which refuses a fence lower than the highest one accepted so far. */
export interface EngineOrder {
  fence: number
  action: 'loadModel' | 'loadAdapter' | 'setVersion' | 'setRole'
  argument: string
}
