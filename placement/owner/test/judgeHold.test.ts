import { describe, expect, it } from 'vitest'
import type { BoxInfo, Members } from '@forkstage/control'
import type { EngineHold } from '@forkstage/engine-client'
import { formatRequestId, judgeHold } from '../src'

const box = (name: string, incarnation = 'one'): BoxInfo => ({
  box: name,
  incarnation,
  address: '',
  domain: 'd',
  state: 'serving',
})
const members = (...boxes: BoxInfo[]): Members => ({ version: [1, 1], boxes, leaving: [] })
const hold = (ageMs: number): EngineHold => ({
  request: formatRequestId({ box: 'a', incarnation: 'one' }, 7),
  epoch: 64,
  kind: 'slot',
  tokens: 1,
  ageMs,
})
const judge = (of: Members, ageMs = 9_000, goneMs = 0) =>
  judgeHold(hold(ageMs), { members: of, graceMs: 3_000, goneGraceMs: 8_000, goneForMs: () => goneMs })

describe('judgeHold', () => {
  it('keeps young holds, holds of unknown requests, and all holds while no box is known', () => {
    expect(judge(members(box('a')), 2_999)).toEqual({ type: 'keep' })
    expect(judge(members())).toEqual({ type: 'keep' })
    const foreign = { ...hold(9_000), request: 'not ours' }
    expect(
      judgeHold(foreign, { members: members(box('a')), graceMs: 1, goneGraceMs: 1, goneForMs: () => 9 }),
    ).toEqual({ type: 'keep' })
  })

  it('asks the box that made the request while that box is live', () => {
    expect(judge(members(box('a'), box('b')))).toEqual({ type: 'ask', boxes: [box('a')] })
  })

  it('asks every box once the one that made the request has restarted or has been gone for long', () => {
    const restarted = members(box('a', 'two'), box('b'))
    expect(judge(restarted)).toEqual({ type: 'ask', boxes: restarted.boxes })
    expect(judge(members(box('b')), 9_000, 7_999)).toEqual({ type: 'keep' })
    expect(judge(members(box('b')), 9_000, 8_000)).toEqual({ type: 'ask', boxes: [box('b')] })
  })
})
