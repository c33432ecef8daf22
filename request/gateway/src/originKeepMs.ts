import type { Route } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'

/** A caller resumes a stream at once or after a backoff, and its attempt lasts as long as the route allows. */
const ATTEMPTS = 2

/** Returns for how long after an attempt its caller may resume the stream, in milliseconds. */
export function originKeepMs({ timeoutMs }: Route): Millis {
  return timeoutMs * ATTEMPTS
}
