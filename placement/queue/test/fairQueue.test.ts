import { describe, expect, it } from 'vitest'
import { FairQueue, type QueueItem } from '../src'

const item = (workspace: string, cost = 1, priority = 0): QueueItem => ({ workspace, cost, priority })

function serve(queue: FairQueue<QueueItem>, count: number): string {
  return Array.from({ length: count }, () => {
    const next = queue.peek()!
    queue.remove(next, true)
    return next.workspace
  }).join('')
}

describe('FairQueue', () => {
  it('does not let a burst of one workspace starve the others', () => {
    const queue = new FairQueue<QueueItem>()
    for (let n = 0; n < 50; n += 1) queue.push(item('a'))
    for (let n = 0; n < 3; n += 1) queue.push(item('b'))
    expect(serve(queue, 8)).toBe('abababaa')
  })

  it('shares by cost, not by count', () => {
    const queue = new FairQueue<QueueItem>()
    for (let n = 0; n < 4; n += 1) queue.push(item('a', 3))
    for (let n = 0; n < 9; n += 1) queue.push(item('b', 1))
    const served = serve(queue, 8)
    expect(served.split('a').length - 1).toBeLessThanOrEqual(3)
  })

  it('serves by priority within a workspace, and gives no credit for a pause', () => {
    const queue = new FairQueue<QueueItem>()
    for (let n = 0; n < 10; n += 1) queue.push(item('a', 1, n === 9 ? 5 : 0))
    expect(queue.peek()!.priority).toBe(5)
    serve(queue, 8)
    for (let n = 0; n < 6; n += 1) queue.push(item('late'))
    for (let n = 0; n < 4; n += 1) queue.push(item('a'))
    expect(serve(queue, 6).split('late').length - 1).toBeLessThanOrEqual(4)
  })
})
