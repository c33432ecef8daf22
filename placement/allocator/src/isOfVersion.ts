import { versionOf, type RegisteredEndpoint } from '@forkstage/directory'
import type { PlaceAsk } from './allocatorTypes'

/** Whether an engine may continue the stream of a request. */
export function isOfVersion({ boundVersion }: PlaceAsk, engine: RegisteredEndpoint): boolean {
  return boundVersion === undefined || versionOf(engine) === boundVersion
}
