import { describe, expect, it } from 'vitest'
import { answers, startRelay } from './relayHarness'

describe('an entry that takes on fewer requests than come', () => {
  it('closes a connection before its request is read, so that its caller may retry elsewhere', async () => {
    const { harness, seen } = await startRelay([[undefined, answers]])
    harness.gate.admitsConnections = false
    await expect(harness.send('/p/', { body: 'b' })).rejects.toThrow('ECONNRESET')
    expect(seen()).toEqual([0])
    expect(harness.reports).toEqual([])
    harness.gate.admitsConnections = true
    expect(await harness.send('/p/', { body: 'b' })).toMatchObject({ status: 200 })
  })

  it('refuses a request on an open connection at once, with a time to retry after', async () => {
    const { harness, seen } = await startRelay([[undefined, answers]])
    harness.gate.admitsRequests = false
    const answer = await harness.send('/p/')
    expect(answer).toMatchObject({ status: 503, isWhole: true })
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0)
    expect(harness.reports).toMatchObject([{ status: 503, outcome: 'entry overloaded', sends: [] }])
    expect(seen()).toEqual([0])
  })

  it('asks callers to open their next connection elsewhere, until it keeps up', async () => {
    const { harness } = await startRelay([[undefined, answers]])
    const headers = { connection: 'keep-alive' }
    harness.gate.isLimiting = true
    expect((await harness.send('/p/', { headers })).headers.connection).toBe('close')
    harness.gate.isLimiting = false
    expect((await harness.send('/p/', { headers })).headers.connection).not.toBe('close')
  })
})

describe('an entry that delays its requests by itself', () => {
  it.each([
    [false, 1],
    [true, 4],
  ])('does not lower the limit of an endpoint for late answers (delayed: %s)', async (isDelayed, limit) => {
    const late = (request: Parameters<typeof answers>[0]) => void setTimeout(() => answers(request), 20)
    const { harness } = await startRelay([[undefined, late]], { targetMs: 5 })
    harness.isDelayed = isDelayed
    harness.pool.get('i-0')!.limit.recordAnswer(0, 1)
    for (let count = 0; count < 60; count += 1) await harness.send('/p/')
    expect(harness.pool.get('i-0')!.limit.value).toBeGreaterThanOrEqual(limit)
    if (!isDelayed) expect(harness.pool.get('i-0')!.limit.value).toBe(1)
  })
})
