import { describe, expect, it } from 'vitest'
import { checkStreamVersions, type StreamSurroundings } from '../src/checkStreamVersions'
import type { SoakStream, StreamAttempt } from '../src/soakStreams'

const AT = 100_000
const CALM: StreamSurroundings = {
  disruptions: new Map(),
  outages: [],
  steady: ['v1', 'v1', 'v2', 'v2'].map((version) => ({ version: version as 'v1', from: 0, to: Infinity })),
}

function attempt(id: string, events: [number, string][], fields: Partial<StreamAttempt> = {}): StreamAttempt {
  const brought = events.map(([number, version]) => ({ id: number, version }))
  return {
    id,
    entry: 'e1',
    startedAt: AT,
    status: 200,
    events: brought,
    retryAfterMs: 0,
    isLeft: false,
    ...fields,
  }
}

/** Streams that begin at v1 and are resumed, of which some go on. */
function resumed(count: number, goOn: number): SoakStream[] {
  return Array.from({ length: count }, (_, index) => ({
    attempts: [
      attempt(`s${index}-1`, [[1, 'v1']]),
      attempt(`s${index}-2`, index < goOn ? [[2, 'v1']] : [], { after: 1, status: index < goOn ? 200 : 503 }),
    ],
  }))
}

describe('checkStreamVersions', () => {
  it('finds a stream of two versions within one attempt or over several', () => {
    const within = {
      attempts: [
        attempt('s1-1', [
          [1, 'v1'],
          [2, 'v2'],
        ]),
      ],
    }
    const over = { attempts: [attempt('s2-1', [[1, 'v1']]), attempt('s2-2', [[2, 'v2']], { after: 1 })] }
    expect(checkStreamVersions([within, over], CALM)).toHaveLength(2)
    expect(checkStreamVersions(resumed(3, 3), CALM)).toEqual([])
  })

  it('finds an event that is missing or arrives twice', () => {
    for (const second of [1, 3]) {
      const stream = {
        attempts: [attempt('s1-1', [[1, 'v1']]), attempt('s1-2', [[second, 'v1']], { after: 1 })],
      }
      expect(checkStreamVersions([stream], CALM)).toHaveLength(1)
    }
  })

  it('finds that under half as many resumed streams go on as new ones begin, from twelve on', () => {
    expect(checkStreamVersions(resumed(12, 5), CALM)).toHaveLength(1)
    expect(checkStreamVersions(resumed(12, 6), CALM)).toEqual([])
    expect(checkStreamVersions(resumed(11, 0), CALM)).toEqual([])
  })

  it('does not count attempts at disrupted machines, or while one engine of the version serves', () => {
    const disruptions = new Map([['e1', [{ from: AT - 5_000, to: AT - 2_000 }]]])
    expect(checkStreamVersions(resumed(12, 0), { ...CALM, disruptions })).toEqual([])
    const outages = [{ from: AT - 500, to: Infinity }]
    expect(checkStreamVersions(resumed(12, 0), { ...CALM, outages })).toEqual([])
    expect(checkStreamVersions(resumed(12, 0), { ...CALM, steady: CALM.steady.slice(1) })).toEqual([])
  })
})
