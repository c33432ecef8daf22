import { createSystemClock } from '@forkstage/clock'
import { expect, it } from 'vitest'
import { connectDirectly } from '../src'

it.each(['127.0.0.1:99999', '127.0.0.1:65536', '127.0.0.1:', 'somewhere'])(
  'reports an address that no connection can have, %s, as refused, and does not throw',
  async (address) => {
    const attempt = connectDirectly(address, 1_000, createSystemClock())
    expect(await attempt.result).toMatchObject({ type: 'refused' })
    attempt.cancel()
  },
)
