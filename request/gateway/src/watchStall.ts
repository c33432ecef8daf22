import type { Route } from '@forkstage/routes'
import type { ModelPlace } from './modelPlacer'
import type { RelayParts } from './relayParts'

/** The stream that {@link watchStall} watches. */
export interface WatchedStream {
  /** Whether it is in progress and its engine has sent no event. */
  isSilent(): boolean
  /** Whether the route allows another engine to run the request. */
  hasEngineLeft(): boolean
  /** Ends the stream and excludes its engine from the next attempt. */
  abandon(): void
}

/** A watch for the first event of a stream. */
export interface StallWatch {
  cancel(): void
  /** Whether the stream was abandoned. */
  hasLeft(): boolean
}

/** Reports an engine that has sent no event within the target, and abandons it if the route allows another. */
export function watchStall(
  { clock, isDelayed }: Pick<RelayParts, 'clock' | 'isDelayed'>,
  route: Route,
  place: ModelPlace,
  stream: WatchedStream,
): StallWatch {
  let hasLeft = false
  const cancel = clock.after(route.targetMs, () => {
    if (!stream.isSilent() || isDelayed?.() === true) return
    place.reportStalled(route.targetMs)
    hasLeft = route.resumable && stream.hasEngineLeft()
    if (hasLeft) stream.abandon()
  })
  return { cancel, hasLeft: () => hasLeft }
}
