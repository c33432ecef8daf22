import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { checkPartitions } from '../src/checkPartitions'
import { planPartitions, type ObservedPartition } from '../src/partitionFaults'
import type { CallRecord } from '../src/soakCallers'

const PARTITION: ObservedPartition = { from: 0, to: 6_000, kind: 'hang', entries: ['entry-1'] }

/** Returns `count` calls at an entry, of which `served` are answered. */
function calls(entry: string, count: number, served: number, startedAt = 2_000): CallRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${entry}-${index}`,
    kind: 'safe',
    status: index < served ? 200 : 503,
    body: '',
    isWhole: true,
    stamp: '',
    entry,
    startedAt,
    endedAt: startedAt + 100,
    deadlineMs: 3_000,
  }))
}

describe('checkPartitions', () => {
  it('reports entries that serve far fewer calls than the others while they are cut off', () => {
    const broken = checkPartitions(
      [PARTITION],
      [...calls('entry-1', 40, 0), ...calls('entry-2', 40, 40)],
      new Map(),
    )
    expect(broken).toEqual(['entry-1 cut off (hang) served 0 of 40 calls, the others 40 of 40; 40 x 503 '])
  })

  it('accepts entries that serve as many, few failures, and failures that all entries share', () => {
    for (const [cut, others] of [
      [calls('entry-1', 40, 39), calls('entry-2', 40, 40)],
      [calls('entry-1', 10, 0), calls('entry-2', 40, 40)],
      [calls('entry-1', 40, 10), calls('entry-2', 40, 12)],
    ])
      expect(checkPartitions([PARTITION], [...cut!, ...others!], new Map())).toEqual([])
  })

  it('does not count refusals whose reason holds at every entry, but all others', () => {
    const refused = (reason: string) =>
      calls('entry-1', 40, 0).map((call) => ({ ...call, body: `"The request was not run: ${reason}."` }))
    const others = calls('entry-2', 40, 40)
    const check = (reason: string) => checkPartitions([PARTITION], [...refused(reason), ...others], new Map())
    expect(check('no decode engine is known')).toEqual([])
    for (const reason of ['the endpoint was not reached', 'no room in time', 'no endpoint'])
      expect(check(reason)).toHaveLength(1)
  })

  it('does not count calls while an entry learns of the partition or is down', () => {
    const others = calls('entry-2', 40, 40)
    expect(checkPartitions([PARTITION], [...calls('entry-1', 40, 0, 500), ...others], new Map())).toEqual([])
    const outages = new Map([['entry-1', [{ from: 1_500, to: 2_050 }]]])
    expect(checkPartitions([PARTITION], [...calls('entry-1', 40, 0), ...others], outages)).toEqual([])
  })
})

describe('planPartitions', () => {
  it('draws the same partitions for the same seed, never of all entries, and one in a run of 18 seconds', () => {
    for (let seed = 1; seed < 50; seed += 1) {
      const plan = planPartitions(18_000, 4, createSeededRandom(seed))
      expect(plan).toEqual(planPartitions(18_000, 4, createSeededRandom(seed)))
      expect(plan.length).toBeGreaterThan(0)
      expect(plan.every(({ count }) => count >= 1 && count <= 3)).toBe(true)
    }
  })

  it('does not count calls while every other entry is down, which could carry them, but while one is not', () => {
    const outages = new Map([['entry-2', [{ from: 1_500, to: 3_000 }]]])
    const [cut, others] = [calls('entry-1', 40, 0), calls('entry-2', 40, 40, 4_500)]
    expect(checkPartitions([PARTITION], [...cut, ...others], outages)).toEqual([])
    const third = calls('entry-3', 40, 40)
    expect(checkPartitions([PARTITION], [...cut, ...others, ...third], outages)).toHaveLength(1)
  })
})
