import type { Address, Millis } from '@forkstage/types'

/** One start of an endpoint's process, named by the endpoint itself. */
export type InstanceId = string

/** The half of a model request that an engine does. */
export type Stage = 'prefill' | 'decode'

/** What an endpoint says of itself. */
export interface RegisteredEndpoint {
  id: InstanceId
  service: string
  address: Address
  zone: string
  /** Requests worked on at once. */
  slots: number
  /** `left` is final: an instance never comes back under the same id. */
  state: 'ready' | 'draining' | 'left'
  /** Present for engines. */
  stage?: Stage
  models: string[]
  /** How much longer it was cold when it said so, in milliseconds; absent where it did not say, which is not zero. */
  coldMs?: Millis
  /** Rises with each call of the instance; tells a late call from a new one. */
  sequence: number
}
