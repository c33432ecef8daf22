import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { CrashBook, CrashReporter, type CrashRecord } from '../src'

/** An entry before a leader that answers or does not. */
class ReportWorld {
  readonly clock = new ManualClock()
  readonly book = new CrashBook({ now: () => this.clock.now(), ends: 3, keepMs: 60_000 })
  readonly heard: CrashRecord[] = []
  leader: string | undefined = 'c1'
  answers = true
  calls = 0
  readonly reporter = new CrashReporter({
    clock: this.clock,
    book: this.book,
    leader: () => this.leader,
    report: (records) => {
      this.calls += 1
      if (!this.answers) return Promise.resolve(undefined)
      this.heard.push(...records)
      return Promise.resolve(true as const)
    },
  })

  end(life: string, content: string): void {
    this.reporter.note(this.book.recordCrash(life, [{ content, isEarly: true }]))
  }

  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      this.clock.advance(50)
      await Promise.resolve()
      await Promise.resolve()
    }
  }
}

describe('CrashReporter', () => {
  it('tells the leader at once, and nothing twice', async () => {
    const world = new ReportWorld()
    world.end('l1', 'a')
    await world.pass(3_000)
    expect(world.heard).toMatchObject([{ content: 'a', ended: ['l1'] }])
    expect(world.calls).toBe(1)
  })

  it('tells until it is answered, with what has come meanwhile', async () => {
    const world = new ReportWorld()
    world.answers = false
    world.end('l1', 'a')
    await world.pass(1_000)
    world.end('l2', 'a')
    world.end('l2', 'b')
    world.answers = true
    await world.pass(1_000)
    expect(world.heard.sort((one, other) => one.content.localeCompare(other.content))).toMatchObject([
      { content: 'a', ended: ['l1', 'l2'] },
      { content: 'b', ended: ['l2'] },
    ])
  })

  it('tells each new leader once more what this entry has seen', async () => {
    const world = new ReportWorld()
    world.end('l1', 'a')
    await world.pass(200)
    world.leader = undefined
    await world.pass(2_000)
    expect(world.calls).toBe(1)
    world.leader = 'c2'
    await world.pass(3_000)
    expect(world.heard.map(({ content }) => content)).toEqual(['a', 'a'])
  })

  it('begins nothing more once it has stopped', async () => {
    const world = new ReportWorld()
    world.answers = false
    world.end('l1', 'a')
    await world.pass(100)
    world.reporter.stop()
    const { calls } = world
    world.leader = 'c2'
    await world.pass(3_000)
    expect(world.calls - calls).toBeLessThanOrEqual(1)
  })
})
