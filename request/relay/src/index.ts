/** The order of a stream's frames. */
export { FrameOrder } from './frameOrder'
export type { FrameVerdict, TokenFrame } from './frameOrder'
