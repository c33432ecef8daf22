import type { BoxInfo, Members } from '@forkstage/control'
import type { EngineHold } from '@forkstage/engine-client'
import type { Millis } from '@forkstage/types'
import { originOf } from './requestIds'

/** What to do about one hold. */
export type HoldVerdict =
  | { type: 'keep' }
  /** Ask these boxes; release the hold if none of them runs its request. */
  | { type: 'ask'; boxes: BoxInfo[] }

/** Options of {@link judgeHold}. */
export interface JudgeHoldOptions {
  members: Members
  /** Younger holds are kept, since boxes may not know of them yet: the grace exceeds the lag of reports. */
  graceMs: Millis
  /** The holds of a box that is not live are kept this long, since it may be disconnected with streams running. */
  goneGraceMs: Millis
  /** How long an incarnation of a box has not been in the list of live boxes. */
  goneForMs: (box: string, incarnation: string) => Millis
}

/**
 * Decides about a hold that an engine reports. While the box that made the request is live, that box is asked.
 * Once it is gone, any live box may have taken the request over, so all of them are asked.
 */
export function judgeHold(hold: EngineHold, options: JudgeHoldOptions): HoldVerdict {
  const origin = originOf(hold.request)
  if (origin === undefined || hold.ageMs < options.graceMs) return { type: 'keep' }
  const { boxes } = options.members
  if (boxes.length === 0) return { type: 'keep' }
  const originBox = boxes.find((box) => box.box === origin.box && box.incarnation === origin.incarnation)
  if (originBox !== undefined) return { type: 'ask', boxes: [originBox] }
  const replaced = boxes.some((box) => box.box === origin.box)
  const isGoneGraceOver = options.goneForMs(origin.box, origin.incarnation) >= options.goneGraceMs
  // A box with a new incarnation runs nothing of an earlier one.
  return replaced || isGoneGraceOver ? { type: 'ask', boxes } : { type: 'keep' }
}
