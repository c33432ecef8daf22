import type { Address, Millis } from '@forkstage/types'

/** One life of an endpoint: one start of its process. See {@link lifeId}. */
export type InstanceId = string

/** The half of a model request that an engine does. */
export type Stage = 'prefill' | 'decode'

/** What an endpoint says of itself. */
export interface RegisteredEndpoint {
  id: InstanceId
  /** What it calls itself, where its start is part of `id`. */
  name?: string
  /** When its process started, in Unix milliseconds by its own clock; absent where it does not say. */
  born?: number
  service: string
  address: Address
  zone: string
  /** Requests worked on at once. */
  slots: number
  /**
   * `left` and `ended` are final: a life never comes back. `ended`: a later life has its name, so that its process is gone
   * without having said so.
   */
  state: 'ready' | 'draining' | 'left' | 'ended'
  /** Present for engines. */
  stage?: Stage
  models: string[]
  /** How much longer it was cold when it said so, in milliseconds; absent where it did not say, which is not zero. */
  coldMs?: Millis
  /** Rises with each call of the instance; tells a late call from a new one. */
  sequence: number
}
