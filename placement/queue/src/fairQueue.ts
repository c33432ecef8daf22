/** Something that waits, on behalf of a workspace. */
export interface QueueItem {
  workspace: string
  /** Higher goes first within a workspace. */
  priority: number
  /** What serving it costs, for example its prompt tokens. */
  cost: number
}

interface WorkspaceQueue<Item> {
  items: Item[]
  /** Cost served so far, on the scale of {@link FairQueue.floor}. */
  served: number
}

/**
 * Serves workspaces by the least cost served so far, so that one caller's flood does not starve the
 * rest. A workspace that comes back after a pause starts level with the others, not with credit.
 */
export class FairQueue<Item extends QueueItem> {
  private readonly queues = new Map<string, WorkspaceQueue<Item>>()
  /** The served cost of the workspace that was served last. */
  private virtualTime = 0
  private count = 0

  get length(): number {
    return this.count
  }

  /** How many of a workspace wait. */
  lengthOf(workspace: string): number {
    return this.queues.get(workspace)?.items.length ?? 0
  }

  push(item: Item): void {
    const queue = this.queues.get(item.workspace) ?? { items: [], served: this.virtualTime }
    this.queues.set(item.workspace, queue)
    const position = queue.items.findIndex((other) => other.priority < item.priority)
    queue.items.splice(position < 0 ? queue.items.length : position, 0, item)
    this.count += 1
  }

  /** The next to be served; stays in the queue. */
  peek(): Item | undefined {
    return this.nextQueue()?.items[0]
  }

  /** Takes out one item: served ones count against their workspace, others do not. */
  remove(item: Item, served: boolean): void {
    const queue = this.queues.get(item.workspace)
    const position = queue?.items.indexOf(item) ?? -1
    if (queue === undefined || position < 0) return
    queue.items.splice(position, 1)
    this.count -= 1
    if (served) this.charge(queue, item.cost)
    if (queue.items.length === 0 && queue.served <= this.virtualTime) this.queues.delete(item.workspace)
  }

  /** Charges a workspace for work that was served without waiting. */
  recordServed(workspace: string, cost: number): void {
    const queue = this.queues.get(workspace)
    if (queue !== undefined) this.charge(queue, cost)
  }

  items(): Item[] {
    return [...this.queues.values()].flatMap((queue) => queue.items)
  }

  private charge(queue: WorkspaceQueue<Item>, cost: number): void {
    this.virtualTime = Math.max(this.virtualTime, queue.served)
    queue.served = Math.max(queue.served, this.virtualTime) + cost
  }

  private nextQueue(): WorkspaceQueue<Item> | undefined {
    let next: WorkspaceQueue<Item> | undefined
    for (const queue of this.queues.values()) {
      if (queue.items.length === 0) continue
      if (next === undefined || queue.served < next.served) next = queue
    }
    return next
  }
}
