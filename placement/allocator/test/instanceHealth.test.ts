import { describe, expect, it } from 'vitest'
import { InstanceHealth } from '../src/instanceHealth'

describe('InstanceHealth', () => {
  it('takes an instance out at once that refuses connections, for longer each time', () => {
    const health = new InstanceHealth()
    expect(health.note('i', 'unreachable', 0)).toBe(1_500)
    expect(health.isSound('i', 1_499)).toBe(false)
    expect(health.isSound('i', 1_500)).toBe(true)
    expect(health.note('i', 'unreachable', 1_600)).toBe(3_000)
  })

  it('forgives a single failure, and takes one out that fails most of the time', () => {
    const health = new InstanceHealth()
    expect(health.note('i', 'failed', 0)).toBe(0)
    expect(health.note('i', 'failed', 1)).toBe(1_500)
    const grey = new InstanceHealth()
    const outcomes = ['failed', 'ok', 'failed', 'ok', 'ok', 'failed'] as const
    expect(outcomes.map((outcome, index) => grey.note('i', outcome, index))).toEqual([0, 0, 0, 0, 0, 0])
  })

  it('calls one lost only after it was out several times without a good use between', () => {
    const health = new InstanceHealth()
    health.note('i', 'unreachable', 0)
    health.note('i', 'unreachable', 2_000)
    expect(health.isLost('i')).toBe(false)
    health.note('i', 'unreachable', 6_000)
    expect(health.isLost('i')).toBe(true)
    health.note('i', 'ok', 20_000)
    expect(health.isLost('i')).toBe(false)
  })

  it('pauses one that has no room, longer with each refusal in a row', () => {
    const health = new InstanceHealth()
    health.note('i', 'full', 0)
    expect([health.isFull('i', 199), health.isFull('i', 200)]).toEqual([true, false])
    health.note('i', 'full', 200)
    expect([health.isFull('i', 599), health.isFull('i', 600)]).toEqual([true, false])
    health.note('i', 'ok', 700)
    health.note('i', 'full', 800)
    expect(health.isFull('i', 1_000)).toBe(false)
  })
})
