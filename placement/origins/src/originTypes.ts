import type { Millis } from '@forkstage/types'

/** Identifies a stream over the attempts of its caller. See `streamKey`. */
export type StreamKey = string

/** The engines that may continue a stream: those of the service and software version that began it. */
export interface StreamOrigin {
  service: string
  /** Empty if the engine that began the stream reported none. */
  softwareVersion: string
}

/** The origin of a stream as machines send it. Times are durations, since clocks may differ. */
export interface OriginRecord extends StreamOrigin {
  stream: StreamKey
  /** For how much longer its caller may resume the stream, in milliseconds. */
  keepMs: Millis
}

/** Asks for the origin of a stream. */
export interface OriginQuery {
  stream: StreamKey
  /** The service that would continue the stream if its origin is unknown. */
  service: string
  /** How long ago the stream may have begun, in milliseconds. */
  withinMs: Millis
}

/** The answer to an {@link OriginQuery}. */
export interface OriginAnswer {
  /** Absent if the origin is unknown. */
  origin?: StreamOrigin
  /** The only software version that the service can have begun a stream with; absent if there are several, or none. */
  soleVersion?: string
  /** Whether the service may have begun the stream with several versions; absent if it is not known to. */
  hasSeveralVersions?: true
}

/**
 * Stands for the version of an engine that may have restarted with another one: no engine has it, so a stream that began
 * there is continued nowhere.
 */
export const UNCERTAIN_VERSION = '\u0000'
