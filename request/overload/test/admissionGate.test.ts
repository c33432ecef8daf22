import { ManualClock } from '@forkstage/clock'
import { createLogger } from '@forkstage/logger'
import { describe, expect, it } from 'vitest'
import { AdmissionGate } from '../src'

const RUNNING = 40

interface Delays {
  loopMs: number
  connectMs: number
  linkMs: number
}

function start(targetMs: number) {
  const clock = new ManualClock()
  const monitor: Delays = { loopMs: 0, connectMs: 0, linkMs: 0 }
  const events: { event: string; waitedMs?: number }[] = []
  const logger = createLogger({
    context: {},
    level: 'info',
    write: (line) => void events.push(JSON.parse(line).context),
  })
  const gate = new AdmissionGate({ monitor, targetMs: () => targetMs, clock, logger })
  const last = (ms: number, delays: Delays) => {
    Object.assign(monitor, delays)
    for (let passed = 0; passed < ms; passed += 50) {
      gate.update(RUNNING)
      clock.advance(50)
    }
    return gate.isLimiting
  }
  return { gate, last, events, clock }
}

describe('the admission gate', () => {
  it('bears a late event loop as long as the smallest target allows', () => {
    expect(start(800).last(1_000, { loopMs: 60, connectMs: 70, linkMs: 5 })).toBe(false)
    expect(start(386).last(1_000, { loopMs: 60, connectMs: 70, linkMs: 5 })).toBe(true)
    expect(start(800).last(1_000, { loopMs: 90, connectMs: 70, linkMs: 5 })).toBe(true)
  })

  // Guards against an entry with a full link and a busy event loop that then answers nobody in time.
  it('bears a queue of the link for no longer than a few milliseconds, whatever the targets', () => {
    expect(start(5_000).last(1_000, { loopMs: 0, connectMs: 16, linkMs: 16 })).toBe(true)
    expect(start(5_000).last(1_000, { loopMs: 20, connectMs: 40, linkMs: 20 })).toBe(true)
    expect(start(5_000).last(1_000, { loopMs: 0, connectMs: 14, linkMs: 14 })).toBe(false)
  })

  it('logs the longest that a connection may have waited to be closed unread', () => {
    const { gate, last, events, clock } = start(386)
    last(1_000, { loopMs: 60, connectMs: 0, linkMs: 0 })
    gate.allowsConnection(RUNNING, 0)
    clock.advance(100)
    gate.allowsConnection(RUNNING, 310)
    gate.allowsConnection(RUNNING, 40)
    last(3_000, { loopMs: 0, connectMs: 0, linkMs: 0 })
    expect(events.at(-1)).toMatchObject({ event: 'entry.keeps_up', waitedMs: 310 })
  })
})
