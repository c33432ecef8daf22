/** Puts the frames of an answer in order. */
export { FrameReorderBuffer } from './frameReorderBuffer'
export type { FrameVerdict, TokenFrame } from './frameReorderBuffer'
