/** Requests that end the endpoints that run them. */
export { contentDigest } from './contentDigest'
export type { ContentDigest, RequestContent } from './contentDigest'
export { CrashWatch } from './crashWatch'
export type { CrashWatchOptions, Listening, LostSending } from './crashWatch'
export { tryAddress } from './tryAddress'
