import type { Attempt } from './engineStream'
import type { ModelPlace } from './modelPlacer'
import type { CountedSending } from './sendCounter'

/** Releases a placement whose decode engine was not used. Returns how the attempt ended. */
export function releaseUnused(place: ModelPlace, attempt: Attempt, drawn?: CountedSending): Attempt {
  place.release('cancelled', 0, 0)
  drawn?.close('not-arrived')
  return attempt
}
