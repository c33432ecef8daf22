/** The name of a box (a machine that runs a daemon of the system). */
export type BoxId = string
/** The name of an endpoint (an engine or a plain service that serves requests). */
export type EndpointName = string
/** An address as `ip:port`. */
export type Address = string
/** The name of a failure domain: a set of machines that can fail together. */
export type FailureDomain = string
/** The name of a caller, as given by its credential. */
export type CallerName = string
/** The key under which a caller may resend a request. Unique per caller. */
export type RequestKey = string
/** The internal identifier of a request; the same for every resend with the same key. */
export type RequestId = string
/** A monotonic time or a duration, in milliseconds. */
export type Millis = number

/** What an answer guarantees about the execution of its request. */
export type Execution = 'ran' | 'not-run' | 'may-have-run'
