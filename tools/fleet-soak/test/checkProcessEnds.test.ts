// Guards against machines that end by themselves (SIGHUP in the first moments of a start) and are started again unseen.
import { describe, expect, it } from 'vitest'
import { checkProcessEnds, START_MS, type ProcessRecord } from '../src/checkProcessEnds'

const STARTED_AT = 10_000

function record(
  signals: [NodeJS.Signals, number][],
  end?: Partial<NonNullable<ProcessRecord['end']>>,
): ProcessRecord {
  return {
    machine: 'entry-1',
    startedAt: STARTED_AT,
    signals: signals.map(([signal, after]) => ({ signal, at: STARTED_AT + after })),
    ...(end === undefined ? {} : { end: { at: STARTED_AT + 5_000, code: null, signal: null, ...end } }),
  }
}

describe('checkProcessEnds', () => {
  it('accepts processes that run, were killed, or were stopped with exit code 0', () => {
    const good = [
      record([['SIGHUP', 50]]),
      record([['SIGKILL', 4_000]], { signal: 'SIGKILL' }),
      record([['SIGTERM', 4_000]], { code: 0 }),
      record(
        [
          ['SIGHUP', 50],
          ['SIGTERM', 60],
        ],
        { code: 0 },
      ),
    ]
    expect(checkProcessEnds(good)).toEqual([])
  })

  it('accepts an end by SIGTERM only within the first moments of a start', () => {
    const ended = (after: number) => record([['SIGTERM', after]], { signal: 'SIGTERM' })
    expect(checkProcessEnds([ended(START_MS - 1)])).toEqual([])
    expect(checkProcessEnds([ended(START_MS)])).toHaveLength(1)
  })

  it.each([
    ['no signal', record([], { code: 0 })],
    ['SIGHUP', record([['SIGHUP', 50]], { signal: 'SIGHUP' })],
    [
      'SIGHUP beside a stop',
      record(
        [
          ['SIGTERM', 40],
          ['SIGHUP', 50],
        ],
        { signal: 'SIGHUP' },
      ),
    ],
    ['a failed stop', record([['SIGTERM', 4_000]], { code: 1 })],
    ['a kill by another', record([['SIGTERM', 4_000]], { signal: 'SIGKILL' })],
    ['an exit before a kill', record([['SIGKILL', 5_100]], { code: 1 })],
  ])('reports an end after %s', (_what, bad) => {
    expect(checkProcessEnds([bad])).toHaveLength(1)
  })
})
