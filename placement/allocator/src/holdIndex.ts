import type { InstanceId } from '@forkstage/directory'
import type { Hold } from './allocatorTypes'

/** Holds indexed by one of their engines. */
export type HoldIndex = Map<InstanceId, Set<Hold>>

/** Adds a hold to the index under an engine. */
export function addHold(index: HoldIndex, id: InstanceId, hold: Hold): void {
  const holds = index.get(id) ?? new Set()
  index.set(id, holds)
  holds.add(hold)
}

/** Removes a hold from the index; an engine without holds is removed too. */
export function removeHold(index: HoldIndex, id: InstanceId, hold: Hold): void {
  const holds = index.get(id)
  holds?.delete(hold)
  if (holds?.size === 0) index.delete(id)
}
