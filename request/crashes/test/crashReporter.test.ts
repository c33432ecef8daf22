import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { CrashTracker, CrashReporter, type CrashRecord } from '../src'

/** An entry before a leader that answers or does not. */
class ReporterFixture {
  readonly clock = new ManualClock()
  readonly tracker = new CrashTracker({ now: () => this.clock.now(), ends: 3, keepMs: 60_000 })
  readonly heard: CrashRecord[] = []
  leader: string | undefined = 'c1'
  answers = true
  calls = 0
  readonly reporter = new CrashReporter({
    clock: this.clock,
    tracker: this.tracker,
    leader: () => this.leader,
    report: (records) => {
      this.calls += 1
      if (!this.answers) return Promise.resolve(undefined)
      this.heard.push(...records)
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
  it('tells the leader at once, and nothing twice', async () => {
    const fixture = new ReporterFixture()
    fixture.crash('l1', 'a')
    await fixture.advance(3_000)
    expect(fixture.heard).toMatchObject([{ content: 'a', ended: ['l1'] }])
    expect(fixture.calls).toBe(1)
  })

  it('tells until it is answered, with what has come meanwhile', async () => {
    const fixture = new ReporterFixture()
    fixture.answers = false
    fixture.crash('l1', 'a')
    await fixture.advance(1_000)
    fixture.crash('l2', 'a')
    fixture.crash('l2', 'b')
    fixture.answers = true
    await fixture.advance(1_000)
    expect(fixture.heard.sort((one, other) => one.content.localeCompare(other.content))).toMatchObject([
      { content: 'a', ended: ['l1', 'l2'] },
      { content: 'b', ended: ['l2'] },
    ])
  })

  it('tells each new leader once more what this entry has seen', async () => {
    const fixture = new ReporterFixture()
    fixture.crash('l1', 'a')
    await fixture.advance(200)
    fixture.leader = undefined
    await fixture.advance(2_000)
    expect(fixture.calls).toBe(1)
    fixture.leader = 'c2'
    await fixture.advance(3_000)
    expect(fixture.heard.map(({ content }) => content)).toEqual(['a', 'a'])
  })

  it('begins nothing more once it has stopped', async () => {
    const fixture = new ReporterFixture()
    fixture.answers = false
    fixture.crash('l1', 'a')
    await fixture.advance(100)
    fixture.reporter.stop()
    const { calls } = fixture
    fixture.leader = 'c2'
    await fixture.advance(3_000)
    expect(fixture.calls - calls).toBeLessThanOrEqual(1)
  })
})
