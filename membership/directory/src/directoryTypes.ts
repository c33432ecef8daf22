import type { Address, Millis } from '@forkstage/types'

/** Identifies one incarnation of an endpoint, that is one start of its process. See {@link instanceIdOf}. */
export type InstanceId = string

/** The phase of a model request that an engine serves. */
export type Stage = 'prefill' | 'decode'

/** What an endpoint reports about itself. */
export interface RegisteredEndpoint {
  id: InstanceId
  /** The endpoint's own name; present if the start of its process is part of `id`. */
  name?: string
  /** When the process started, in Unix milliseconds by its own clock; absent if not reported. */
  born?: number
  service: string
  address: Address
  zone: string
  /**
   * Version of the software of its process; absent if not reported. Streams of two versions do not fit together.
   */
  softwareVersion?: string
  /** The number of requests that it processes concurrently. */
  slots: number
  /**
   * `left` and `ended` are final for an incarnation. `ended`: a later incarnation has the same name, so the
   * process ended without reporting it.
   */
  state: 'ready' | 'draining' | 'left' | 'ended'
  /** Present for engines. */
  stage?: Stage
  models: string[]
  /**
   * Remaining cold time at the time of the report, in milliseconds; absent if not reported, which does not
   * mean 0.
   */
  coldMs?: Millis
  /** Rises with each call of the incarnation, so that late calls are recognized. */
  sequence: number
}
