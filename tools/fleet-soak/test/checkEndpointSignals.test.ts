import { describe, expect, it } from 'vitest'
import { checkEndpointSignals, type EndpointArrival } from '../src/checkEndpointSignals'
import type { TimeSpan } from '../src/checkInterruptedAnswers'
import type { CallRecord } from '../src/soakCallers'

const NO_OUTAGES = new Map<string, TimeSpan[]>()
const call = (id: string, entry: string, startedAt: number, isWhole = true) =>
  ({ id, entry, startedAt, endedAt: startedAt + 20, isWhole }) as CallRecord
const arrival = (request: string, at: number, endpoint = 'i-1'): EndpointArrival => ({
  endpoint,
  request,
  at,
})

/** Returns requests of an entry that arrive at an endpoint at the given times. */
function arrivalsOf(entry: string, times: number[], endpoint?: string) {
  const ids = times.map((at) => `${entry} ${at}`)
  return {
    calls: ids.map((id, index) => call(id, entry, times[index]! - 5)),
    arrivals: ids.map((id, index) => arrival(id, times[index]!, endpoint)),
  }
}

describe('checkEndpointSignals', () => {
  const backoff = { ...arrival('r1', 0), forMs: 3_000 }
  const refusedCall = call('r1', 'e1', -5)

  it('accepts two requests during the backoff of an endpoint and reports three', () => {
    const check = (times: number[], entry = 'e1', endpoint?: string) => {
      const { calls, arrivals } = arrivalsOf(entry, times, endpoint)
      return checkEndpointSignals(
        { arrivals, backoffs: [backoff], leavingNotices: [] },
        [refusedCall, ...calls],
        NO_OUTAGES,
      )
    }
    expect(check([600, 700])).toEqual([])
    expect(check([600, 700, 2_900])).toEqual(['i-1 asked e1 for 3000 ms of backoff and got 3 requests'])
    expect(check([100, 200, 300, 400, 500, 3_000, 3_100, 3_200])).toEqual([])
    expect(check([600, 700, 2_900], 'e2')).toEqual([])
    expect(check([600, 700, 2_900], 'e1', 'i-1 of another incarnation')).toEqual([])
  })

  it('reports a request that was sent after its entry had forwarded a notice that the endpoint leaves', () => {
    const leaving = call('r1', 'e1', 0)
    const check = (startedAt: number, entry = 'e1', isWhole = true) =>
      checkEndpointSignals(
        { arrivals: [arrival('r2', startedAt + 5)], backoffs: [], leavingNotices: [arrival('r1', 5)] },
        [{ ...leaving, isWhole }, call('r2', entry, startedAt)],
        NO_OUTAGES,
      )
    expect(check(500)).toEqual([])
    expect(check(600)).toEqual(['r2 reached i-1, which had told e1 that it leaves'])
    expect(check(600, 'e2')).toEqual([])
    expect(check(600, 'e1', false)).toEqual([])
  })

  it('exempts an entry that had an outage since the signal', () => {
    const { calls, arrivals } = arrivalsOf('e1', [1_000, 1_100, 1_200])
    const signals = { arrivals, backoffs: [backoff], leavingNotices: [arrival('r1', 0)] }
    const check = (away: TimeSpan) =>
      checkEndpointSignals(signals, [refusedCall, ...calls], new Map([['e1', [away]]]))
    expect(check({ from: 100, to: 900 })).toEqual([])
    expect(check({ from: 1_300, to: 1_400 })).not.toEqual([])
  })
})
