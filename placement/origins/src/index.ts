/** Which service and software version began a stream. */
export { OriginTable } from './originTable'
export type { OriginTableOptions } from './originTable'
export { readOriginQuery, readOrigins, readSavedVersions, readVersions } from './readOrigins'
export { streamKey } from './streamKey'
export { UNCERTAIN_VERSION } from './originTypes'
export type { OriginAnswer, OriginQuery, OriginRecord, StreamKey, StreamOrigin } from './originTypes'
export { VersionHistory } from './versionHistory'
export type { SavedVersions } from './versionHistory'
