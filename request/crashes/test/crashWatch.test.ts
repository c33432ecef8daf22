import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { CrashWatch, type Listening } from '../src'

const ENDPOINT: RegisteredEndpoint = {
  id: 'i-1',
  service: 's',
  address: '127.0.0.1:1',
  zone: 'z',
  slots: 4,
  state: 'ready',
  models: [],
  sequence: 1,
}

/** A watch over one endpoint. */
class WatchWorld {
  readonly clock = new ManualClock()
  readonly ended: [string, string[]][] = []
  listening: Listening = 'listens'
  tries = 0
  isReplaced = false
  known: RegisteredEndpoint | undefined = ENDPOINT
  readonly watch = new CrashWatch({
    clock: this.clock,
    logger: createSilentLogger(),
    tryAddress: () => {
      this.tries += 1
      return Promise.resolve(this.listening)
    },
    current: () => this.known,
    isReplaced: () => this.isReplaced,
    onCrash: (life, under) =>
      this.ended.push([
        life,
        under.map(({ content, isEarly }) => `${content} ${isEarly ? 'early' : 'late'}`),
      ]),
  })

  lose(request: string, content: string, isBroken = true, afterMs = 100): void {
    this.watch.noteLost({ request, content, endpoint: ENDPOINT, isBroken, afterMs })
  }

  /** Lets time pass in small steps, so that what a try finds is taken in between. */
  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      this.clock.advance(10)
      await Promise.resolve()
      await Promise.resolve()
    }
  }
}

describe('CrashWatch', () => {
  it('names everything that was lost at an endpoint where nobody listens any more, once', async () => {
    const world = new WatchWorld()
    world.listening = 'refused'
    world.lose('r1', 'a')
    world.lose('r2', 'b')
    world.lose('r3', 'c', true, 1_200)
    await world.pass(1_000)
    expect(world.ended).toEqual([['i-1', ['a early', 'b early', 'c late']]])
    expect(world.tries).toBe(1)
  })

  it('takes an answer that broke off at an endpoint that goes on listening for no end, after two looks', async () => {
    const world = new WatchWorld()
    world.lose('r1', 'a')
    await world.pass(5_000)
    expect(world.ended).toEqual([])
    expect(world.tries).toBe(2)
  })

  it('sees an endpoint that takes a moment to close its listener', async () => {
    const world = new WatchWorld()
    world.lose('r1', 'a')
    await world.pass(200)
    world.listening = 'refused'
    await world.pass(500)
    expect(world.ended).toEqual([['i-1', ['a early']]])
  })

  it.each([true, false])('sees that another has registered at its address (broken: %s)', async (isBroken) => {
    const world = new WatchWorld()
    world.listening = 'silent'
    world.lose('r1', 'a', isBroken)
    await world.pass(3_000)
    expect(world.ended).toEqual([])
    world.isReplaced = true
    world.watch.checkSuspected()
    expect(world.ended).toEqual([['i-1', [isBroken ? 'a early' : 'a late']]])
  })

  it('opens no connection for what was given up here', async () => {
    const world = new WatchWorld()
    world.lose('r1', 'a', false)
    await world.pass(2_000)
    expect(world.tries).toBe(0)
  })

  it('forgets a loss when it is long ago', async () => {
    const world = new WatchWorld()
    world.lose('r1', 'a')
    await world.pass(17_000)
    world.isReplaced = true
    world.watch.checkSuspected()
    expect(world.ended).toEqual([])
  })

  it.each([undefined, { ...ENDPOINT, state: 'draining' as const }])(
    'takes the end of one that has said that it leaves for none (%#)',
    async (known) => {
      const world = new WatchWorld()
      world.listening = 'refused'
      world.lose('r1', 'a')
      world.known = known
      await world.pass(1_000)
      world.lose('r2', 'b')
      await world.pass(1_000)
      expect(world.ended).toEqual([])
    },
  )

  // Guards against repeats that never leave, or leave before the first try.
  it.each(['listens', 'refused', 'silent'] as const)(
    'says that a loss is decided once a try has shown that it %s',
    async (found) => {
      const world = new WatchWorld()
      world.listening = found
      expect(world.watch.isUnconfirmed('i-1')).toBe(false)
      world.lose('r1', 'a')
      let isKnown = false
      void world.watch.confirmed('i-1').then(() => (isKnown = true))
      await world.pass(40)
      expect([world.watch.isUnconfirmed('i-1'), isKnown]).toEqual([true, false])
      await world.pass(20)
      expect([world.watch.isUnconfirmed('i-1'), isKnown]).toEqual([false, true])
      expect(world.ended.length).toBe(found === 'refused' ? 1 : 0)
    },
  )

  it('lets those go on who wait for an endpoint that leaves or is replaced meanwhile', async () => {
    for (const change of [(world: WatchWorld) => (world.known = undefined), replace]) {
      const world = new WatchWorld()
      world.lose('r1', 'a')
      const known = world.watch.confirmed('i-1')
      change(world)
      world.watch.checkSuspected()
      await known
      expect(world.watch.isUnconfirmed('i-1')).toBe(false)
    }
  })
})

function replace(world: WatchWorld): void {
  world.isReplaced = true
}
