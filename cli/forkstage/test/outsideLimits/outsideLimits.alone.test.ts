import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import { buildPrograms, type Role } from '../machineProcess'
import { CROWD, WAITS } from './bounds'
import { HostileCrowd } from './hostileCrowd'
import { HTTP_KINDS, ordinaryBytes, PEER_KINDS, UNREAD_ANSWERS, type HostileBytes } from './hostileKinds'
import {
  LISTENERS,
  nextPort,
  StandIn,
  startMachine,
  statusOfSmallChunks,
  TARGETS,
  waitConfigured,
  waitServed,
  type LimitedMachine,
  type ListenerName,
} from './limitedMachines'

let folder: string
let machine: LimitedMachine
let crowd: HostileCrowd | undefined

/** Returns what each client of the crowd sends to a listener; the clients take its targets in turn. */
function crowdOf(listener: ListenerName, kind: string): HostileBytes[] {
  const length = kind === UNREAD_ANSWERS ? CROWD.pipeliningClients : CROWD.clients
  const clients = Array.from({ length }, (_, index) => index)
  if (listener === 'peers') return clients.map(() => PEER_KINDS[kind]!())
  const targets = TARGETS[listener]
  return clients.map((index) => HTTP_KINDS[kind]!(targets[index % targets.length]!))
}

function describeListeners(role: Role, waitAnswered: () => Promise<void>): void {
  describe.each([...LISTENERS[role]])('%s', (listener: ListenerName) => {
    const open = () => {
      const opened = new HostileCrowd(machine.ip, machine.ports[listener]!)
      crowd = opened
      return opened
    }
    const check = async () => {
      expect(machine.process.faults()).toEqual([])
      await waitAnswered()
      await machine.process.rest()
      await waitAnswered()
      expect(machine.process.faults()).toEqual([])
    }

    it.each(Object.keys(listener === 'peers' ? PEER_KINDS : HTTP_KINDS))(
      'outlasts %s',
      async (kind) => {
        await open().play(crowdOf(listener, kind))
        await check()
      },
      WAITS.testMs,
    )

    it(
      'outlasts more connections than it may hold',
      async () => {
        await open().openResting(CROWD.connections, ordinaryBytes(listener === 'peers'))
        await check()
      },
      WAITS.testMs,
    )
  })
}

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'forkstage-limits-test-'))
  await buildPrograms(folder)
}, WAITS.testMs)
afterAll(() => rm(folder, { recursive: true, force: true }))

describe('an entry whose clients are outside the limits', () => {
  let control: LimitedMachine
  let endpoint: StandIn
  let peersPort: number

  beforeAll(async () => {
    peersPort = await nextPort()
    control = await startMachine('control', { folder, peersPort })
    await waitConfigured(control)
    endpoint = new StandIn(control)
    await endpoint.start()
  }, WAITS.testMs)
  afterAll(async () => {
    endpoint.stop()
    await control.process.kill()
  })
  beforeEach(async () => {
    machine = await startMachine('entry', { folder, peersPort })
    await waitServed(machine)
  }, WAITS.testMs)
  afterEach(async () => {
    crowd?.end()
    await machine.process.kill()
  })

  it('serves a single request in chunks of one byte', async () => {
    expect(await statusOfSmallChunks(machine)).toBe(200)
    expect(machine.process.faults()).toEqual([])
  })

  describeListeners('entry', () => waitServed(machine))
})

describe('a control machine whose clients are outside the limits', () => {
  beforeEach(async () => {
    machine = await startMachine('control', { folder, peersPort: await nextPort() })
    await waitConfigured(machine)
  }, WAITS.testMs)
  afterEach(async () => {
    crowd?.end()
    await machine.process.kill()
  })

  describeListeners('control', () => waitConfigured(machine))
})
