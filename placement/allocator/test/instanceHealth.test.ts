import { describe, expect, it } from 'vitest'
import { InstanceHealth } from '../src/instanceHealth'

describe('InstanceHealth', () => {
  it('ejects an instance that refuses a connection at once, for longer each time', () => {
    const health = new InstanceHealth()
    expect(health.record('i', 'unreachable', 0)).toBe(1_500)
    expect(health.isHealthy('i', 1_499)).toBe(false)
    expect(health.isHealthy('i', 1_500)).toBe(true)
    expect(health.record('i', 'unreachable', 1_600)).toBe(8_000)
    expect(health.isHealthy('i', 9_599)).toBe(false)
  })

  it('tolerates a single failure, and ejects an instance that fails most of the time', () => {
    const health = new InstanceHealth()
    expect(health.record('i', 'failed', 0)).toBe(0)
    expect(health.record('i', 'failed', 1)).toBe(1_500)
    const grey = new InstanceHealth()
    const outcomes = ['failed', 'ok', 'failed', 'ok', 'ok', 'failed'] as const
    expect(outcomes.map((outcome, index) => grey.record('i', outcome, index))).toEqual([0, 0, 0, 0, 0, 0])
  })

  it('counts an instance as lost only after several ejections without a successful use in between', () => {
    const health = new InstanceHealth()
    const ejections: number[] = []
    for (let now = 0; ejections.length < 3; now += 500) {
      expect(health.isLost('i', now, 0)).toBe(false)
      if (health.record('i', 'failed', now) > 0) ejections.push(now)
    }
    expect(health.isLost('i', 20_000, 6_000)).toBe(true)
    health.record('i', 'ok', 20_000)
    expect(health.isLost('i', 20_000, 0)).toBe(false)
  })

  it('counts an instance as lost after two refused connections, once it could have returned', () => {
    const health = new InstanceHealth()
    health.record('i', 'unreachable', 0)
    expect(health.isLost('i', 9_000, 6_000)).toBe(false)
    health.record('i', 'ok', 1_000)
    health.record('i', 'unreachable', 2_000)
    expect(health.isLost('i', 9_000, 6_000)).toBe(false)
    health.record('i', 'unreachable', 2_001)
    expect(health.isLost('i', 7_999, 6_000)).toBe(false)
    expect(health.isLost('i', 8_000, 6_000)).toBe(true)
    health.record('i', 'ok', 20_000)
    expect(health.isLost('i', 30_000, 6_000)).toBe(false)
  })

  it('counts an abandoned use against an instance only if it answered no other meanwhile', () => {
    const busy = new InstanceHealth()
    busy.record('i', 'ok', 1_000)
    const givenUp = [1_100, 1_200, 1_300, 1_400, 1_500].map((now) => busy.record('i', 'silent', now, 800))
    expect(givenUp).toEqual([0, 0, 0, 0, 0])
    const silent = new InstanceHealth()
    silent.record('i', 'ok', 1_000)
    expect(silent.record('i', 'silent', 2_000, 800)).toBe(0)
    expect(silent.record('i', 'silent', 2_010, 800)).toBe(1_500)
  })

  it('pauses an instance without capacity, longer with each refusal in a row', () => {
    const health = new InstanceHealth()
    health.record('i', 'full', 0)
    expect([health.isFull('i', 199), health.isFull('i', 200)]).toEqual([true, false])
    health.record('i', 'full', 200)
    expect([health.isFull('i', 599), health.isFull('i', 600)]).toEqual([true, false])
    health.record('i', 'ok', 700)
    health.record('i', 'full', 800)
    expect(health.isFull('i', 1_000)).toBe(false)
  })
})
