/** The name of a box (a machine that runs a daemon of the system). */
export type BoxId = string
/** The name of an endpoint (an engine or a plain service that serves requests). */
export type EndpointName = string
/** An address as `ip:port`. */
export type Address = string
/** A failure domain: what is lost together. */
export type FailureDomain = string
/** The caller's name, as its credential says. */
export type CallerName = string
/** The key under which a caller may resend a request. Unique per caller. */
export type RequestKey = string
/** The system's own identifier of a request; the same for every resend of a key. */
export type RequestId = string
/** A point on the monotonic clock, in milliseconds. */
export type Millis = number

/** What an answer promises about the request: whether it was run. */
export type Execution = 'ran' | 'not-run' | 'may-have-run'
