import { createSystemClock } from '@forkstage/clock'
import type { Dial } from '@forkstage/paths'
import { describe, expect, it } from 'vitest'
import { fetchAnswer } from '../src'

function fetchFrom(address: string, dial?: () => Dial) {
  return fetchAnswer({
    address,
    method: 'GET',
    path: '/',
    rawHeaders: ['Host', address],
    body: Buffer.alloc(0),
    connectMs: 1_000,
    dial,
    clock: createSystemClock(),
    maxBytes: 1_024,
  })
}

describe('fetchAnswer', () => {
  it('fails as not sent for an address that no connection can have', async () => {
    expect(await fetchFrom('127.0.0.1:99999')).toMatchObject({ type: 'failed', sent: false })
  })

  it('fails as not sent if the dial rejects', async () => {
    const dial = () => ({ result: Promise.reject(new Error('dial fault')), cancel: () => undefined })
    expect(await fetchFrom('127.0.0.1:9', dial)).toMatchObject({
      type: 'failed',
      sent: false,
      reason: 'dial fault',
    })
  })
})
