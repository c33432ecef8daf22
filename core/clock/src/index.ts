/** Clock and random source, injected everywhere. */
export { createSystemClock, delay, every } from './clock'
export type { CancelTimer, Clock } from './clock'
export { SuspensionDetector } from './suspensionDetector'
export type { ClockSources } from './suspensionDetector'
export { ManualClock } from './manualClock'
export { createSeededRandom, createSystemRandom } from './random'
export type { Random } from './random'
