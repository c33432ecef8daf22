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

const FAILURE = new Error('unexpected')

/** A detector that watches one endpoint. */
class DetectorHarness {
  readonly clock = new ManualClock()
  readonly ended: [string, string[]][] = []
  readonly lines: object[] = []
  probeResult: ProbeResult = 'listens'
  probes = 0
  isReplaced = false
  failsNow = false
  known: RegisteredEndpoint | undefined = ENDPOINT
  readonly detector = new CrashDetector({
    clock: this.clock,
    logger: { ...createSilentLogger(), warn: (_event, fields) => void this.lines.push(fields) },
    probeAddress: () => {
      this.probes += 1
      return Promise.resolve(this.probeResult)
    },
    current: () => this.known,
    isReplaced: () => {
      if (this.failsNow) throw FAILURE
      return this.isReplaced
    },
    onCrash: (incarnation, contents) =>
      this.ended.push([
        incarnation,
        contents.map(({ content, isEarly }) => `${content} ${isEarly ? 'early' : 'late'}`),
      ]),
  })

  loseAnswer(request: string, content: string, isBroken = true, afterMs = 100): void {
    this.detector.recordLoss({ request, content, endpoint: ENDPOINT, isBroken, afterMs })
  }

  /** Advances time in small steps, so that probe results are processed in between. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      this.clock.advance(10)
      await Promise.resolve()
      await Promise.resolve()
    }
  }
}

describe('CrashDetector', () => {
  it('reports all requests lost at an endpoint that refuses connections, once', async () => {
    const harness = new DetectorHarness()
    harness.probeResult = 'refused'
    harness.loseAnswer('r1', 'a')
    harness.loseAnswer('r2', 'b')
    harness.loseAnswer('r3', 'c', true, 1_200)
    await harness.advance(1_000)
    expect(harness.ended).toEqual([['i-1', ['a early', 'b early', 'c late']]])
    expect(harness.probes).toBe(1)
  })

  it('logs the prompt parts of the lost requests whose answers had not begun', async () => {
    const harness = new DetectorHarness()
    harness.probeResult = 'refused'
    const attempt = { endpoint: ENDPOINT, isBroken: true, afterMs: 50 }
    harness.detector.recordLoss({ ...attempt, request: 'r1', content: 'a', parts: ['part-1', 'part-2'] })
    harness.detector.recordLoss({ ...attempt, request: 'r2', content: 'b', parts: ['part-2', 'part-3'] })
    harness.detector.recordLoss({
      ...attempt,
      request: 'r3',
      content: 'c',
      parts: ['part-4'],
      hasBegun: true,
    })
    await harness.advance(1_000)
    expect(harness.lines).toMatchObject([{ parts: ['part-1', 'part-2', 'part-3'] }])
    expect(harness.ended).toEqual([['i-1', ['a early', 'b early', 'c late']]])
  })

  it('reports no crash if the endpoint still listens at both probes', async () => {
    const harness = new DetectorHarness()
    harness.loseAnswer('r1', 'a')
    await harness.advance(5_000)
    expect(harness.ended).toEqual([])
    expect(harness.probes).toBe(2)
  })

  it('detects a crash at the second probe if the listener closes late', async () => {
    const harness = new DetectorHarness()
    harness.loseAnswer('r1', 'a')
    await harness.advance(200)
    harness.probeResult = 'refused'
    await harness.advance(500)
    expect(harness.ended).toEqual([['i-1', ['a early']]])
  })

  it.each([true, false])(
    'detects a crash when another process registers at the address (broken: %s)',
    async (isBroken) => {
      const harness = new DetectorHarness()
      harness.probeResult = 'silent'
      harness.loseAnswer('r1', 'a', isBroken)
      await harness.advance(3_000)
      expect(harness.ended).toEqual([])
      harness.isReplaced = true
      harness.detector.checkSuspected()
      expect(harness.ended).toEqual([['i-1', [isBroken ? 'a early' : 'a late']]])
    },
  )

  it('does not probe after a timeout on this machine', async () => {
    const harness = new DetectorHarness()
    harness.loseAnswer('r1', 'a', false)
    await harness.advance(2_000)
    expect(harness.probes).toBe(0)
  })

  it('drops a loss after its expiry', async () => {
    const harness = new DetectorHarness()
    harness.loseAnswer('r1', 'a')
    await harness.advance(17_000)
    harness.isReplaced = true
    harness.detector.checkSuspected()
    expect(harness.ended).toEqual([])
  })

  it.each([undefined, { ...ENDPOINT, state: 'draining' as const }])(
    'reports no crash of an endpoint that has left or is draining (%#)',
    async (known) => {
      const harness = new DetectorHarness()
      harness.probeResult = 'refused'
      harness.loseAnswer('r1', 'a')
      harness.known = known
      await harness.advance(1_000)
      harness.loseAnswer('r2', 'b')
      await harness.advance(1_000)
      expect(harness.ended).toEqual([])
    },
  )

  // Guards against retries that wait forever or leave before the first probe.
  it.each(['listens', 'refused', 'silent'] as const)(
    'confirms or refutes a loss once a probe has shown that the address is: %s',
    async (found) => {
      const harness = new DetectorHarness()
      harness.probeResult = found
      expect(harness.detector.isUnconfirmed('i-1')).toBe(false)
      harness.loseAnswer('r1', 'a')
      let isKnown = false
      void harness.detector.confirmed('i-1').then(() => (isKnown = true))
      await harness.advance(40)
      expect([harness.detector.isUnconfirmed('i-1'), isKnown]).toEqual([true, false])
      await harness.advance(20)
      expect([harness.detector.isUnconfirmed('i-1'), isKnown]).toEqual([false, true])
      expect(harness.ended.length).toBe(found === 'refused' ? 1 : 0)
    },
  )

  it('resolves waiting requests when the endpoint leaves or is replaced', async () => {
    for (const change of [(harness: DetectorHarness) => (harness.known = undefined), replace]) {
      const harness = new DetectorHarness()
      harness.loseAnswer('r1', 'a')
      const known = harness.detector.confirmed('i-1')
      change(harness)
      harness.detector.checkSuspected()
      await known
      expect(harness.detector.isUnconfirmed('i-1')).toBe(false)
    }
  })

  // Guards against checks that an unexpected error stops for good, so that losses never expire.
  it('goes on checking after an unexpected error', async () => {
    const harness = new DetectorHarness()
    harness.loseAnswer('r1', 'a', false)
    harness.failsNow = true
    await expect(harness.advance(1_000)).rejects.toThrow(FAILURE)
    harness.failsNow = false
    harness.isReplaced = true
    await harness.advance(1_000)
    expect(harness.ended).toEqual([['i-1', ['a late']]])
  })
})

function replace(harness: DetectorHarness): void {
  harness.isReplaced = true
}
