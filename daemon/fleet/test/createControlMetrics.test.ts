import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { Directory } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import type { WatchHub } from '@forkstage/watch'
import { endpointWithDefaults } from '../../../request/gateway/test/rowsWithDefaults'
import { createControlMetrics, type ControlMetricsSource } from '../src/createControlMetrics'
import { Registrar } from '../src/registrar'

const SELF = '10.0.0.1:1'

/** A control machine that knows no leader, so that engines of new versions wait. */
function controlMachine() {
  const clock = new ManualClock()
  const directory = new Directory(() => clock.now())
  const hub = { notifyChange: () => undefined, countEntries: () => 0 } as unknown as WatchHub
  const registrar = new Registrar({
    directory,
    hub,
    logger: createSilentLogger(),
    persist: () => Promise.resolve(true),
    isConnected: () => true,
    versions: {
      self: SELF,
      leader: () => undefined,
      origins: { isRunning: () => false, recordVersions: () => undefined },
      peers: { call: () => Promise.reject(new Error('no answer')) },
      clock,
    },
  })
  let holdings = (): Record<string, number> => ({})
  const source = {
    directory,
    hub,
    registrar,
    allocator: { holdCount: 0, waitingCount: 0 },
    origins: { count: 0 },
    context: {
      memoryMonitor: { observe: (observed: typeof holdings) => (holdings = observed), limitBytes: 1 },
    },
  }
  createControlMetrics(source as unknown as ControlMetricsSource)
  return { registrar, holdings: () => holdings() }
}

describe('what a control machine holds', () => {
  // Guards against a full heap of which memory.high says that it holds no endpoints.
  it('includes registrations that wait for a new version to be confirmed', async () => {
    const { registrar, holdings } = controlMachine()
    for (let index = 0; index < 30; index += 1) {
      const id = `i-${index}`
      await registrar.register(
        endpointWithDefaults({ id, address: `${id}:1`, stage: 'decode', softwareVersion: 'v2' }, 0),
      )
    }
    expect(holdings()).toMatchObject({ endpoints: 0, registrations_waiting: 30 })
    await registrar.leave('i-0')
    expect(holdings()).toMatchObject({ registrations_waiting: 29 })
  })
})
