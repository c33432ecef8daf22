/** A waiting item of a workspace. */
export interface QueueItem {
  workspace: string
  /** Higher goes first within a workspace. */
  priority: number
  /** The cost of serving the item, for example its prompt tokens. */
  cost: number
}

interface WorkspaceQueue<Item> {
  items: Item[]
  /** Cost served so far, on the scale of {@link FairQueue.virtualTime}. */
  served: number
}

/**
 * Serves the workspace with the least cost served so far, so that a burst of one does not starve the
 * others. A workspace that returns after a pause starts level with the others, without credit for the pause.
 */
export class FairQueue<Item extends QueueItem> {
  private readonly queues = new Map<string, WorkspaceQueue<Item>>()
  /** The served cost of the workspace that was served last, with which a new workspace starts. */
  private virtualTime = 0
  private count = 0

  get length(): number {
    return this.count
  }

  /** The number of waiting items of a workspace. */
  lengthOf(workspace: string): number {
    return this.queues.get(workspace)?.items.length ?? 0
  }

  /** Adds an item after those of its workspace with the same or a higher priority. */
  push(item: Item): void {
    const queue = this.queues.get(item.workspace) ?? { items: [], served: this.virtualTime }
    this.queues.set(item.workspace, queue)
    const position = queue.items.findIndex((other) => other.priority < item.priority)
    queue.items.splice(position < 0 ? queue.items.length : position, 0, item)
    this.count += 1
  }

  /** The next item to be served, which stays in the queue; undefined if the queue is empty. */
  peek(): Item | undefined {
    return this.nextQueue()?.items[0]
  }

  /** Removes an item. Its cost is charged to its workspace only if the item was served. */
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
