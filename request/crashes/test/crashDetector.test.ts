import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { createSilentLogger } from '@forkstage/logger'
import { CrashDetector, type ProbeResult } from '../src'

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
class DetectorFixture {
  readonly clock = new ManualClock()
  readonly ended: [string, string[]][] = []
  probeResult: ProbeResult = 'listens'
  probes = 0
  isReplaced = false
  known: RegisteredEndpoint | undefined = ENDPOINT
  readonly detector = new CrashDetector({
    clock: this.clock,
    logger: createSilentLogger(),
    probeAddress: () => {
      this.probes += 1
      return Promise.resolve(this.probeResult)
    },
    current: () => this.known,
    isReplaced: () => this.isReplaced,
    onCrash: (incarnation, contents) =>
      this.ended.push([
        incarnation,
        contents.map(({ content, isEarly }) => `${content} ${isEarly ? 'early' : 'late'}`),
      ]),
  })

  loseAnswer(request: string, content: string, isBroken = true, afterMs = 100): void {
    this.detector.recordLoss({ request, content, endpoint: ENDPOINT, isBroken, afterMs })
  }

  /** Lets time pass in small steps, so that what a try finds is taken in between. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      this.clock.advance(10)
      await Promise.resolve()
      await Promise.resolve()
    }
  }
}

describe('CrashDetector', () => {
  it('names everything that was lost at an endpoint where nobody listens any more, once', async () => {
    const fixture = new DetectorFixture()
    fixture.probeResult = 'refused'
    fixture.loseAnswer('r1', 'a')
    fixture.loseAnswer('r2', 'b')
    fixture.loseAnswer('r3', 'c', true, 1_200)
    await fixture.advance(1_000)
    expect(fixture.ended).toEqual([['i-1', ['a early', 'b early', 'c late']]])
    expect(fixture.probes).toBe(1)
  })

  it('takes an answer that broke off at an endpoint that goes on listening for no end, after two looks', async () => {
    const fixture = new DetectorFixture()
    fixture.loseAnswer('r1', 'a')
    await fixture.advance(5_000)
    expect(fixture.ended).toEqual([])
    expect(fixture.probes).toBe(2)
  })

  it('sees an endpoint that takes a moment to close its listener', async () => {
    const fixture = new DetectorFixture()
    fixture.loseAnswer('r1', 'a')
    await fixture.advance(200)
    fixture.probeResult = 'refused'
    await fixture.advance(500)
    expect(fixture.ended).toEqual([['i-1', ['a early']]])
  })

  it.each([true, false])('sees that another has registered at its address (broken: %s)', async (isBroken) => {
    const fixture = new DetectorFixture()
    fixture.probeResult = 'silent'
    fixture.loseAnswer('r1', 'a', isBroken)
    await fixture.advance(3_000)
    expect(fixture.ended).toEqual([])
    fixture.isReplaced = true
    fixture.detector.checkSuspected()
    expect(fixture.ended).toEqual([['i-1', [isBroken ? 'a early' : 'a late']]])
  })

  it('opens no connection for what was given up here', async () => {
    const fixture = new DetectorFixture()
    fixture.loseAnswer('r1', 'a', false)
    await fixture.advance(2_000)
    expect(fixture.probes).toBe(0)
  })

  it('forgets a loss when it is long ago', async () => {
    const fixture = new DetectorFixture()
    fixture.loseAnswer('r1', 'a')
    await fixture.advance(17_000)
    fixture.isReplaced = true
    fixture.detector.checkSuspected()
    expect(fixture.ended).toEqual([])
  })

  it.each([undefined, { ...ENDPOINT, state: 'draining' as const }])(
    'takes the end of one that has said that it leaves for none (%#)',
    async (known) => {
      const fixture = new DetectorFixture()
      fixture.probeResult = 'refused'
      fixture.loseAnswer('r1', 'a')
      fixture.known = known
      await fixture.advance(1_000)
      fixture.loseAnswer('r2', 'b')
      await fixture.advance(1_000)
      expect(fixture.ended).toEqual([])
    },
  )

  // Guards against repeats that never leave, or leave before the first try.
  it.each(['listens', 'refused', 'silent'] as const)(
    'says that a loss is decided once a try has shown that it %s',
    async (found) => {
      const fixture = new DetectorFixture()
      fixture.probeResult = found
      expect(fixture.detector.isUnconfirmed('i-1')).toBe(false)
      fixture.loseAnswer('r1', 'a')
      let isKnown = false
      void fixture.detector.confirmed('i-1').then(() => (isKnown = true))
      await fixture.advance(40)
      expect([fixture.detector.isUnconfirmed('i-1'), isKnown]).toEqual([true, false])
      await fixture.advance(20)
      expect([fixture.detector.isUnconfirmed('i-1'), isKnown]).toEqual([false, true])
      expect(fixture.ended.length).toBe(found === 'refused' ? 1 : 0)
    },
  )

  it('lets those go on who wait for an endpoint that leaves or is replaced meanwhile', async () => {
    for (const change of [(fixture: DetectorFixture) => (fixture.known = undefined), replace]) {
      const fixture = new DetectorFixture()
      fixture.loseAnswer('r1', 'a')
      const known = fixture.detector.confirmed('i-1')
      change(fixture)
      fixture.detector.checkSuspected()
      await known
      expect(fixture.detector.isUnconfirmed('i-1')).toBe(false)
    }
  })
})

function replace(fixture: DetectorFixture): void {
  fixture.isReplaced = true
}
