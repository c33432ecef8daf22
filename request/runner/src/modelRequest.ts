import type { CallerName, Millis, RequestKey } from '@forkstage/types'

/** A model request that has been read and checked. */
export interface ModelRequest {
  caller: CallerName
  /** The key in the journal: the caller's name and its own key. */
  key: RequestKey
  /** Whether the caller chose the key, and so may come back for the answer. */
  resumable: boolean
  bodyDigest: string
  service: string
  model: string
  body: unknown
  promptTokens: number
  blocks: string[]
  maxTokens: number
  kvBytesPerToken: number
  /** Same seed, same answer. */
  seed: number
  className: string
  workspace: string
  priority: number
  /** How long the caller waits at most. */
  deadlineMs: Millis
  /** The target for the first token. */
  ttftMs: Millis
}
