// Guards against stops that reset connections on which a request has lain unread: callers on kept connections lose it.
import { describe, expect, it } from 'vitest'
import {
  checkLostRequests,
  findLostRequests,
  LOSS_SLACK_MS,
  type KeptCall,
  type LostRequestEvidence,
} from '../src/checkLostRequests'
import type { ProcessRecord } from '../src/checkProcessEnds'
import { countLost } from '../src/countLost'

const SENT_AT = 50_000

function call(fields: Partial<KeptCall> = {}): KeptCall {
  return {
    id: 'k1',
    kind: 'unsafe',
    status: 0,
    body: '',
    isWhole: false,
    stamp: '',
    entry: 'entry-1',
    startedAt: SENT_AT - 5,
    sentAt: SENT_AT,
    endedAt: SENT_AT + LOSS_SLACK_MS + 1,
    deadlineMs: 3_000,
    used: 0,
    outcome: 'closed',
    ...fields,
  }
}

function signalled(signal: NodeJS.Signals, at: number, machine = 'entry-1'): ProcessRecord {
  return { machine, startedAt: 0, signals: [{ signal, at }] }
}

const find = (one: KeptCall, evidence: Partial<LostRequestEvidence> = {}) =>
  findLostRequests([one], {
    processes: [signalled('SIGTERM', SENT_AT - 500)],
    disruptions: new Map(),
    runs: new Map(),
    isLogged: () => false,
    ...evidence,
  })

describe('findLostRequests', () => {
  it('finds a request that is closed without an answer more than the slack after its last byte', () => {
    expect(checkLostRequests(find(call()))).toHaveLength(1)
  })

  it('counts a request that crosses the close separately', () => {
    const crossing = find(call({ endedAt: SENT_AT + LOSS_SLACK_MS }))
    expect(crossing).toMatchObject({ crossed: 1, lost: [] })
  })

  it('tells how far the request had come', () => {
    expect(countLost(find(call()))).toEqual({ 'never read': 1, read: 0, 'sent on': 0 })
    expect(countLost(find(call(), { isLogged: () => true }))).toEqual({
      'never read': 0,
      read: 1,
      'sent on': 0,
    })
    expect(countLost(find(call(), { runs: new Map([['k1', 1]]) }))).toMatchObject({ 'sent on': 1 })
  })

  it.each([
    ['an answer', call({ outcome: 'answered' }), {}],
    ['a caller that gives up', call({ outcome: 'gave up' }), {}],
    ['a connection that was refused', call({ sentAt: undefined }), {}],
    ['a kill', call(), { processes: [signalled('SIGKILL', SENT_AT + 10)] }],
    ['a pause before the request', call(), { processes: [signalled('SIGSTOP', SENT_AT - 2_900)] }],
    [
      'a partition',
      call(),
      { disruptions: new Map([['entry-1', [{ from: SENT_AT - 1_000, to: Infinity }]]]) },
    ],
    [
      'work that lasts until the end of the grace time',
      call(),
      { processes: [signalled('SIGTERM', SENT_AT - 3_500)], runs: new Map([['k1', 1]]) },
    ],
  ])('accepts %s', (_what, one, evidence) => {
    expect(find(one, evidence).lost).toEqual([])
  })

  it.each([
    ['a kill of another entry', { processes: [signalled('SIGKILL', SENT_AT, 'entry-2')] }],
    ['a kill long before', { processes: [signalled('SIGKILL', SENT_AT - 3_100)] }],
    [
      'the end of the grace time, if it was never read',
      { processes: [signalled('SIGTERM', SENT_AT - 3_500)] },
    ],
  ])('reports it beside %s', (_what, evidence) => {
    expect(find(call(), evidence).lost).toHaveLength(1)
  })
})
