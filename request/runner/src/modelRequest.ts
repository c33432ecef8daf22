import type { CallerName, Millis, RequestKey } from '@forkstage/types'

/** A parsed and validated model request. */
export interface ModelRequest {
  caller: CallerName
  /** The key in the journal: the caller's name and its own key. */
  key: RequestKey
  /** Whether the caller chose the key, and so may reconnect for the answer. */
  resumable: boolean
  bodyDigest: string
  service: string
  model: string
  body: unknown
  promptTokens: number
  blocks: string[]
  maxTokens: number
  kvBytesPerToken: number
  /** A deterministic engine gives the same answer for the same seed. */
  seed: number
  className: string
  workspace: string
  priority: number
  /** The longest time that the caller waits for the answer. */
  deadlineMs: Millis
  /** The target time to the first token. */
  ttftMs: Millis
}
