/** The order of a stream's frames. */
export { FrameReorderBuffer } from './frameReorderBuffer'
export type { FrameVerdict, TokenFrame } from './frameReorderBuffer'
