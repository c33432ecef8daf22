import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { recordRejections } from '../../../core/clock/test/recordRejections'
import { CrashTracker, CrashReporter, type CrashRecord } from '../src'

const FAILURE = new Error('unexpected')

/** A reporter with a leader that can be made not to answer. */
class ReporterHarness {
  readonly clock = new ManualClock()
  readonly tracker = new CrashTracker({ now: () => this.clock.now(), ends: 3, keepMs: 60_000 })
  readonly received: CrashRecord[] = []
  leader: string | undefined = 'c1'
  answers = true
  failsNow = false
  calls = 0
  readonly reporter = new CrashReporter({
    clock: this.clock,
    tracker: this.tracker,
    leader: () => {
      if (this.failsNow) throw FAILURE
      return this.leader
    },
    report: (records) => {
      this.calls += 1
      if (!this.answers) return Promise.resolve(undefined)
      this.received.push(...records)
      return Promise.resolve(true as const)
    },
  })

  crash(incarnation: string, content: string): void {
    this.reporter.enqueue(this.tracker.recordCrash(incarnation, [{ content, isEarly: true }]))
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      this.clock.advance(50)
      await Promise.resolve()
      await Promise.resolve()
    }
  }
}

describe('CrashReporter', () => {
  it('reports a crash to the leader at once and only once', async () => {
    const harness = new ReporterHarness()
    harness.crash('l1', 'a')
    await harness.advance(3_000)
    expect(harness.received).toMatchObject([{ content: 'a', ended: ['l1'] }])
    expect(harness.calls).toBe(1)
  })

  it('retries until the leader answers, and adds records that arrived meanwhile', async () => {
    const harness = new ReporterHarness()
    harness.answers = false
    harness.crash('l1', 'a')
    await harness.advance(1_000)
    harness.crash('l2', 'a')
    harness.crash('l2', 'b')
    harness.answers = true
    await harness.advance(1_000)
    expect(harness.received.sort((one, other) => one.content.localeCompare(other.content))).toMatchObject([
      { content: 'a', ended: ['l1', 'l2'] },
      { content: 'b', ended: ['l2'] },
    ])
  })

  it('reports the crashes seen by this entry again to each new leader', async () => {
    const harness = new ReporterHarness()
    harness.crash('l1', 'a')
    await harness.advance(200)
    harness.leader = undefined
    await harness.advance(2_000)
    expect(harness.calls).toBe(1)
    harness.leader = 'c2'
    await harness.advance(3_000)
    expect(harness.received.map(({ content }) => content)).toEqual(['a', 'a'])
  })

  it('sends no more reports once stopped', async () => {
    const harness = new ReporterHarness()
    harness.answers = false
    harness.crash('l1', 'a')
    await harness.advance(100)
    harness.reporter.stop()
    const { calls } = harness
    harness.leader = 'c2'
    await harness.advance(3_000)
    expect(harness.calls - calls).toBeLessThanOrEqual(1)
  })

  // Guards against a reporter that an unexpected error stops for good.
  it('reports to each new leader after a check that failed', async () => {
    const harness = new ReporterHarness()
    harness.crash('l1', 'a')
    await harness.advance(200)
    harness.leader = 'c2'
    harness.failsNow = true
    await expect(harness.advance(1_000)).rejects.toThrow(FAILURE)
    harness.failsNow = false
    await harness.advance(2_000)
    expect(harness.received.map(({ content }) => content)).toEqual(['a', 'a'])
  })

  it('reports again what it could not report for an unexpected error', async () => {
    const harness = new ReporterHarness()
    const rejections = await recordRejections(async () => {
      harness.failsNow = true
      harness.crash('l1', 'a')
      await harness.advance(50)
    })
    expect(rejections).toEqual([FAILURE])
    harness.failsNow = false
    await harness.advance(1_000)
    expect(harness.received).toMatchObject([{ content: 'a', ended: ['l1'] }])
  })
})
