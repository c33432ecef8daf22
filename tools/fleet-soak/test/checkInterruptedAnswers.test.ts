import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { checkInterruptedAnswers, type InterruptionCauses } from '../src/checkInterruptedAnswers'
import { planEngineFaults } from '../src/engineFaults'
import type { CallRecord } from '../src/soakCallers'
import { newStreamInterruptions } from '../src/standInRuns'

const call = (fields: Partial<CallRecord> = {}): CallRecord => ({
  id: 'r1',
  kind: 'long',
  status: 200,
  body: 'id: 1',
  isWhole: false,
  stamp: '',
  entry: 'entry-1',
  startedAt: 10_000,
  endedAt: 11_000,
  deadlineMs: 8_000,
  ...fields,
})
const causes = (fields: Partial<InterruptionCauses> = {}): InterruptionCauses => ({
  ...newStreamInterruptions(createSeededRandom(1)),
  entries: new Map(),
  evacuations: [],
  ...fields,
})
const expired = (refusals: number) => {
  const interruptions = newStreamInterruptions(createSeededRandom(1))
  interruptions.kvStore.expiredRuns.add('r1')
  interruptions.refusedResumptions.set('r1', refusals)
  return causes(interruptions)
}

describe('checkInterruptedAnswers', () => {
  it('reports an answer that was cut off without a cause, of each kind', () => {
    for (const kind of ['long', 'once', 'stream', 'large'] as const)
      expect(checkInterruptedAnswers([call({ kind })], causes())).toEqual([
        expect.stringContaining('was cut after 1000 ms'),
      ])
  })

  it.each([
    ['is whole', call({ isWhole: true }), causes()],
    ['never began', call({ status: 0 }), causes()],
    ['ran until its deadline', call({ endedAt: 17_000 }), causes()],
    [
      'was cut off by an outage of its entry',
      call(),
      causes({ entries: new Map([['entry-1', [{ from: 10_900, to: 12_000 }]]]) }),
    ],
    ['was interrupted twice', call(), causes({ interrupted: new Map([['r1', 2]]) })],
    [
      'was interrupted and must not run again',
      call({ kind: 'once' }),
      causes({ interrupted: new Map([['r1', 1]]) }),
    ],
    ['was stopped without a reply', call({ kind: 'once' }), causes({ stoppedWithoutReply: new Set(['r1']) })],
    ['was refused by the engines with its retained run', call({ kind: 'once' }), expired(2)],
  ])('accepts an answer that %s', (_what, one, causesOfOne) => {
    expect(checkInterruptedAnswers([one], causesOfOne)).toEqual([])
  })

  it.each([
    [
      'an outage of its entry that ended before',
      call(),
      causes({ entries: new Map([['entry-1', [{ from: 0, to: 9_999 }]]]) }),
    ],
    [
      'an outage of another entry',
      call(),
      causes({ entries: new Map([['entry-2', [{ from: 0, to: Infinity }]]]) }),
    ],
    [
      'one interruption where a second attempt is left',
      call(),
      causes({ interrupted: new Map([['r1', 1]]) }),
    ],
    ['one refused resumption of two', call({ kind: 'once' }), expired(1)],
    [
      'a stop without a reply where it may run again',
      call(),
      causes({ stoppedWithoutReply: new Set(['r1']) }),
    ],
    ['an expired run where it may run again', call(), expired(9)],
  ])('does not accept as a cause: %s', (_what, one, causesOfOne) => {
    expect(checkInterruptedAnswers([one], causesOfOne)).toHaveLength(1)
  })
})

describe('planEngineFaults', () => {
  it('draws the same faults from the same seed, of both kinds', () => {
    const plan = (seed: number) => planEngineFaults(60_000, createSeededRandom(seed))
    expect(plan(1)).toEqual(plan(1))
    expect(plan(1)).not.toEqual(plan(2))
    expect(new Set(plan(1).map(({ kind }) => kind)).size).toBe(2)
  })

  describe('of an answer whose connection another entry may have carried', () => {
    const partition = { from: 9_000, to: 10_200, kind: 'reset' as const, entries: ['entry-1'] }
    const stopOf = (name: string, from: number) =>
      causes({ partitions: [partition], entries: new Map([[name, [{ from, to: from + 100 }]]]) })
    const cut = call({ kind: 'once', endedAt: 13_500 })

    it('counts the end of the carrier after the partition is over, since the connection stays with it', () => {
      expect(checkInterruptedAnswers([cut], stopOf('entry-2', 13_400))).toEqual([])
    })

    it('does not count it for an answer that began after the partition, or the end of no carrier', () => {
      const later = call({ kind: 'once', startedAt: 11_300, endedAt: 13_500 })
      expect(checkInterruptedAnswers([later], stopOf('entry-2', 13_400))).toHaveLength(1)
      expect(checkInterruptedAnswers([cut], stopOf('entry-2', 13_600))).toHaveLength(1)
      expect(checkInterruptedAnswers([cut], causes({ partitions: [partition] }))).toHaveLength(1)
    })
  })
})
