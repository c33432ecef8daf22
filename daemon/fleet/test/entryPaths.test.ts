import { ManualClock } from '@forkstage/clock'
import { Directory } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { FRAMES, TUNNEL_OPEN } from '@forkstage/tunnel'
import { expect, it } from 'vitest'
import { EntryPaths } from '../src/entryPaths'
import type { MachineContext } from '../src/machineContext'

// Guards against an entry with a full link that carries the connections of others over it, twice each.
it('an entry with too much of its own carries no connections for others', async () => {
  let refusesTunnels = false
  const clock = new ManualClock()
  const context = { clock, random: () => 0.5, logger: createSilentLogger() } as unknown as MachineContext
  const paths = new EntryPaths({
    context,
    directory: new Directory(),
    neighbours: () => [],
    refusesTunnels: () => refusesTunnels,
    delays: { recordConnect: () => undefined, recordUnanswered: () => undefined, delayMs: 0 },
  })
  const open = paths.methods()[TUNNEL_OPEN]!
  const ask = async () => open({ endpoint: '127.0.0.1:1', format: FRAMES } as never, {} as never)
  await expect(ask()).rejects.toThrow('no endpoint is registered there')
  refusesTunnels = true
  await expect(ask()).rejects.toThrow('this box takes no more')
})
