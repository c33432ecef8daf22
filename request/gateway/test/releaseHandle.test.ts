import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { expect, it } from 'vitest'
import type { PooledEndpoint } from '../src'
import { releaseHandle } from '../src/releaseHandle'
import type { RelayParts } from '../src/relayParts'
import { FakeWorker } from './fakeWorker'
import { endpointWithDefaults } from './rowsWithDefaults'
import { TEST_WIRE } from './testWire'

const LIMIT_MS = 2_000

it('releaseHandle closes the connections to an engine that never answers', async () => {
  const worker = await FakeWorker.start(() => undefined)
  const clock = new ManualClock()
  const parts = { wire: TEST_WIRE, clock, logger: createSilentLogger() } as unknown as RelayParts
  const at = { endpoint: endpointWithDefaults({ address: worker.address }, 0) } as PooledEndpoint
  const handles = ['h1', 'h2', 'h3']
  handles.forEach((handle) => releaseHandle(parts, at, handle))
  await worker.waitForSeen(handles.length)
  clock.advance(LIMIT_MS)
  await Promise.all(worker.seen.map(({ closed }) => closed))
  expect(worker.seen.map(({ line }) => line).sort()).toEqual(
    handles.map((handle) => `DELETE /free/${handle} HTTP/1.1`),
  )
  await worker.stop()
})
