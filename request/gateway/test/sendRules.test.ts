import { describe, expect, it } from 'vitest'
import { answers, reads, startRelay, streams } from './relayHarness'

describe('a request that a send rule withholds', () => {
  it('goes to another plain endpoint, even if it may run only once', async () => {
    const { harness, seen } = await startRelay([
      [undefined, answers],
      [undefined, answers],
    ])
    harness.withheld.set('i-0', 'closed')
    for (let times = 0; times < 4; times += 1)
      expect((await harness.send('/p/', { body: 'x' })).status).toBe(200)
    expect(seen()).toEqual([0, 4])
  })

  it('is refused as not run if no endpoint may get it', async () => {
    const { harness, seen } = await startRelay([[undefined, answers]])
    harness.withheld.set('i-0', 'closed')
    const answer = await harness.send('/p/', { body: 'x' })
    expect(answer.status).toBe(503)
    expect(answer.headers['retry-after']).toBeDefined()
    expect(seen()).toEqual([0])
  })

  it('is prefilled and decoded at other engines', async () => {
    const { harness, seen } = await startRelay([
      ['prefill', reads],
      ['prefill', reads],
      ['decode', streams],
      ['decode', streams],
    ])
    harness.withheld.set('i-0', 'closed')
    harness.withheld.set('i-2', 'closed')
    for (let times = 0; times < 3; times += 1)
      expect(await harness.send('/p/', { body: 'x' })).toMatchObject({ status: 200, isWhole: true })
    expect(seen()[0]).toBe(0)
    expect(seen()[2]).toBe(0)
  })

  it('leaves no load counted for the engines', async () => {
    const { harness } = await startRelay([
      ['prefill', reads],
      ['decode', streams],
    ])
    harness.withheld.set('i-1', 'closed')
    expect((await harness.send('/p/', { body: 'x' })).status).toBe(503)
    expect(harness.pool.get('i-0')).toMatchObject({ inFlight: 0, tokens: 0 })
    expect(harness.pool.get('i-1')).toMatchObject({ inFlight: 0, tokens: 0 })
  })
})
