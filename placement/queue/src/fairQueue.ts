/** Something that waits, on behalf of a workspace. */
export interface QueueItem {
  workspace: string
  /** Higher goes first within a workspace. */
  priority: number
  /** What serving it costs, for example its prompt tokens. */
  cost: number
}

interface Lane<Item> {
  items: Item[]
  /** Cost served so far, on the scale of {@link FairQueue.floor}. */
  served: number
}

/**
 * Serves workspaces by the least cost served so far, so that one caller's flood does not starve the
 * rest. A workspace that comes back after a pause starts level with the others, not with credit.
 */
export class FairQueue<Item extends QueueItem> {
  private readonly lanes = new Map<string, Lane<Item>>()
  /** The served cost of the workspace that was served last. */
  private floor = 0
  private count = 0

  get length(): number {
    return this.count
  }

  /** How many of a workspace wait. */
  lengthOf(workspace: string): number {
    return this.lanes.get(workspace)?.items.length ?? 0
  }

  push(item: Item): void {
    const lane = this.lanes.get(item.workspace) ?? { items: [], served: this.floor }
    this.lanes.set(item.workspace, lane)
    const position = lane.items.findIndex((other) => other.priority < item.priority)
    lane.items.splice(position < 0 ? lane.items.length : position, 0, item)
    this.count += 1
  }

  /** The next to be served; stays in the queue. */
  peek(): Item | undefined {
    return this.nextLane()?.items[0]
  }

  /** Takes out one item: served ones count against their workspace, others do not. */
  remove(item: Item, served: boolean): void {
    const lane = this.lanes.get(item.workspace)
    const position = lane?.items.indexOf(item) ?? -1
    if (lane === undefined || position < 0) return
    lane.items.splice(position, 1)
    this.count -= 1
    if (served) this.charge(lane, item.cost)
    if (lane.items.length === 0 && lane.served <= this.floor) this.lanes.delete(item.workspace)
  }

  /** Charges a workspace for work that was served without waiting. */
  noteServed(workspace: string, cost: number): void {
    const lane = this.lanes.get(workspace)
    if (lane !== undefined) this.charge(lane, cost)
  }

  items(): Item[] {
    return [...this.lanes.values()].flatMap((lane) => lane.items)
  }

  private charge(lane: Lane<Item>, cost: number): void {
    this.floor = Math.max(this.floor, lane.served)
    lane.served = Math.max(lane.served, this.floor) + cost
  }

  private nextLane(): Lane<Item> | undefined {
    let next: Lane<Item> | undefined
    for (const lane of this.lanes.values()) {
      if (lane.items.length === 0) continue
      if (next === undefined || lane.served < next.served) next = lane
    }
    return next
  }
}
