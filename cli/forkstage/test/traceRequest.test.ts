import { describe, expect, it } from 'vitest'
import { readLogLines, traceRequest } from '../src/traceRequest'

function line(time: number, box: string, event: string, fields: object): string {
  return `${time} ${box} ${JSON.stringify({ context: { box, event, ...fields, logLevel: 30 }, message: event, time })}`
}

const LOG = [
  line(500, 'control-1', 'stage.ordered', { endpoint: 'i-9', stage: 'decode' }),
  line(1_000, 'control-1', 'endpoint.ejected', { endpoint: 'i-1', reason: 'failed' }),
  line(1_100, 'control-1', 'endpoint.ejected', { endpoint: 'i-7', reason: 'failed' }),
  line(1_200, 'control-1', 'place.decided', { request: 'r1', reason: 'prefill i-2, decode i-1' }),
  'a line of something else',
  line(1_300, 'entry-2', 'box.stopping', { reason: 'SIGTERM' }),
  line(1_400, 'entry-1', 'control.lost', { peer: 'control-2' }),
  line(1_500, 'entry-1', 'request.answered', {
    request: 'r1',
    status: 502,
    tookMs: 300,
    sends: [{ to: 'i-2' }, { to: 'i-1' }],
  }),
  line(1_600, 'entry-1', 'request.answered', { request: 'r2', status: 200, tookMs: 1, sends: [] }),
  line(9_000, 'entry-1', 'control.regained', { peer: 'control-2' }),
].join('\n')

describe('traceRequest', () => {
  it('includes the evacuation in force at its machine, however old, and the order that caused it', () => {
    const taken = { domain: 'a', action: 'begin', outcome: 'changed' }
    const log = [
      line(100, 'control-2', 'evacuation.taken', { ...taken, index: 7 }),
      line(110, 'entry-1', 'evacuation.in-force', { index: 7, count: 1, domains: ['a'] }),
      line(300, 'control-2', 'evacuation.taken', { ...taken, index: 9 }),
      line(310, 'entry-1', 'evacuation.in-force', { index: 9, count: 2, domains: ['a', 'b'] }),
      line(315, 'control-1', 'evacuation.taken', { ...taken, outcome: 'held', index: 9 }),
      line(320, 'entry-2', 'evacuation.in-force', { index: 9, count: 2, domains: ['a', 'b'] }),
      line(90_000, 'entry-1', 'request.answered', {
        request: 'r1',
        status: 503,
        outcome: 'evacuated',
        sends: [],
      }),
      line(95_000, 'entry-1', 'evacuation.in-force', { index: 12, count: 0, domains: [] }),
    ].join('\n')
    const events = traceRequest(readLogLines(log), 'r1').map(({ time, event }) => `${time} ${event}`)
    expect(events).toEqual(['300 evacuation.taken', '310 evacuation.in-force', '90000 request.answered'])
  })

  it('returns the lines of a request, of its endpoints and of the machines that handled it, in order of time', () => {
    const events = traceRequest(readLogLines(LOG), 'r1').map(({ time, event }) => `${time} ${event}`)
    expect(events).toEqual([
      '500 stage.ordered',
      '1000 endpoint.ejected',
      '1200 place.decided',
      '1400 control.lost',
      '1500 request.answered',
    ])
  })

  it('returns nothing for a request that no line names', () => {
    expect(traceRequest(readLogLines(LOG), 'r9')).toEqual([])
  })
})
