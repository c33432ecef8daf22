// Guards against stops that close the connections of callers while requests on them are unanswered and time is left.
import { ManualClock } from '@forkstage/clock'
import { createLogger } from '@forkstage/logger'
import { describe, expect, it } from 'vitest'
import { endCallers } from '../src/endCallers'

const ENDS_AT = 3_600

/** Waits until all tasks that are ready have run. */
const flushTasks = () => new Promise((resolve) => setImmediate(resolve))

function start() {
  const clock = new ManualClock()
  const events: { event: string; tookMs?: number }[] = []
  const logger = createLogger({
    context: {},
    level: 'info',
    write: (line) => void events.push(JSON.parse(line).context),
  })
  const state = { running: 1, isCarrying: false, closedAllAt: -1, ended: -1, close: () => {} }
  const ingress = {
    get running() {
      return state.running
    },
    closedConnections: { quiet: 3, forced: 0, unanswered: 0 },
    close: () => new Promise<void>((resolve) => (state.close = resolve)),
    closeAll: async () => void ((state.closedAllAt = clock.now()), (state.running = 0)),
  }
  const isCarrying = () => state.isCarrying
  void endCallers({ ingress, isCarrying, endsAt: clock.now() + ENDS_AT, clock, logger }).then(
    (cut) => (state.ended = cut),
  )
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50)
      await flushTasks()
    }
  }
  return { state, events, advance }
}

describe('endCallers', () => {
  it('ends once no request is running and no connection is left', async () => {
    const { state, events, advance } = start()
    await advance(500)
    state.running = 0
    await advance(500)
    expect(state.closedAllAt).toBe(-1)
    state.close()
    await advance(100)
    expect(state.ended).toBe(0)
    expect(events).toMatchObject([{ event: 'callers.closed', quiet: 3, forced: 0, unanswered: 0 }])
    expect(events[0]!.tookMs).toBeLessThan(1_150)
  })

  it('waits for connections that it carries for other machines', async () => {
    const { state, advance } = start()
    Object.assign(state, { running: 0, isCarrying: true })
    state.close()
    await advance(500)
    expect(state.ended).toBe(-1)
    state.isCarrying = false
    await advance(100)
    expect(state.ended).toBe(0)
  })

  it('closes all connections when the time is over, and returns the number of requests cut off', async () => {
    const { state, advance } = start()
    await advance(ENDS_AT - 100)
    expect(state.closedAllAt).toBe(-1)
    await advance(200)
    expect(state.closedAllAt).toBeLessThanOrEqual(ENDS_AT + 50)
    expect(state.ended).toBe(1)
  })
})
