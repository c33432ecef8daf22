import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import { platformControl } from '@forkstage/platform-system'
import { checkRouteSheet } from '@forkstage/routes'
import { checkCalls } from '../src/checkCalls'
import { planFleetFaults } from '../src'
import { sheetText } from '../src/soakOperator'
import type { CallRecord } from '../src/soakCallers'
import { checkWorkspaceRuns, REQUEST_TOKENS, SMALL_QUOTA, type ObservedRun } from '../src/soakWorkspaces'

function call(fields: Partial<CallRecord>): CallRecord {
  return {
    id: 'r1',
    kind: 'unsafe',
    status: 200,
    body: 'answer to r1',
    isWhole: true,
    stamp: 'stamp-r1',
    entry: 'entry-1',
    startedAt: 0,
    endedAt: 100,
    deadlineMs: 3_000,
    ...fields,
  }
}

const ONCE = new Map([['r1', 1]])
const STREAM = 'id: 1\ndata: r1 1 of 2\n\nid: 2\ndata: r1 2 of 2\n\n'

describe('checkCalls', () => {
  it('accepts complete answers of requests that ran once', () => {
    expect(checkCalls([call({}), call({ kind: 'stream', body: STREAM })], ONCE)).toEqual([])
  })

  it('reports a request that ran twice, unless it is repeatable', () => {
    const twice = new Map([['r1', 2]])
    expect(checkCalls([call({})], twice)).toHaveLength(1)
    expect(checkCalls([call({ kind: 'safe' })], twice)).toEqual([])
  })

  it('reports a request that ran although its status guarantees that it did not', () => {
    const refused = call({ status: 503, body: '', stamp: '' })
    expect(checkCalls([refused], ONCE)).toHaveLength(1)
    expect(checkCalls([refused], new Map())).toEqual([])
    expect(checkCalls([call({ status: 502, body: '', stamp: '' })], ONCE)).toEqual([])
  })

  it('reports an answer of another request', () => {
    expect(checkCalls([call({ stamp: 'stamp-r2' })], ONCE)).toHaveLength(1)
    expect(checkCalls([call({ body: 'answer to r2' })], ONCE)).toHaveLength(1)
  })

  it('reports a stream that ended as complete but has missing, duplicate or reordered events', () => {
    const [first, second] = STREAM.split(/(?<=\n\n)/) as [string, string]
    for (const body of [first, second, first + first + second, second + first, ''])
      expect(checkCalls([call({ kind: 'stream', body })], ONCE)).toHaveLength(1)
    expect(checkCalls([call({ kind: 'stream', body: first, isWhole: false })], ONCE)).toEqual([])
  })
})

describe('checkWorkspaceRuns', () => {
  const run = (fields: Partial<ObservedRun>): ObservedRun => {
    return { request: 'r1', at: 0, workspace: 'steady', sawKey: false, ...fields }
  }
  const callers = new Map([
    ['r1', { key: 'key-steady', workspace: 'steady' }],
    ['r2', { key: 'key-of-no-version' }],
    ['r3', { key: 'key-small', workspace: 'small' }],
  ])

  it('accepts runs under the workspace of their key', () => {
    expect(checkWorkspaceRuns([run({}), run({ request: 'r3', workspace: 'small' })], callers)).toEqual([])
  })

  it.each([
    ['a key that reached an endpoint', run({ sawKey: true })],
    ['a workspace that the caller forged', run({ workspace: 'forged' })],
    ['a run without a workspace', run({ workspace: undefined })],
    ['a run with a key of no workspace', run({ request: 'r2' })],
  ])('reports %s', (_what, bad) => {
    expect(checkWorkspaceRuns([bad], callers)).toHaveLength(1)
  })

  it('reports a workspace that exceeded its quota in a window', () => {
    const spent = (times: number) =>
      Array.from({ length: times }, (_, at) => run({ request: 'r3', workspace: 'small', at }))
    const allowed = SMALL_QUOTA.perSecond * SMALL_QUOTA.windowS + SMALL_QUOTA.burst
    expect(checkWorkspaceRuns(spent(allowed / REQUEST_TOKENS), callers)).toEqual([])
    expect(checkWorkspaceRuns(spent((allowed * 4) / REQUEST_TOKENS), callers)).toHaveLength(1)
  })
})

describe('the soak', () => {
  it('draws the same faults from the same seed and other ones from another seed', () => {
    const draw = (seed: number) => planFleetFaults(60_000, createSeededRandom(seed))
    expect(draw(1)).toEqual(draw(1))
    expect(draw(1)).not.toEqual(draw(2))
    expect(Math.max(...draw(1).map((fault) => fault.at))).toBeLessThan(52_000)
  })

  it('sends valid sheets', () => {
    const sheet = platformControl.readSheet(sheetText(3, 'a'))
    expect(sheet?.version).toBe(3)
    expect(checkRouteSheet(sheet!)).toEqual([])
  })
})
