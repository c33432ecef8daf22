import { ManualClock } from '@forkstage/clock'
import { createLogger } from '@forkstage/logger'
import { describe, expect, it } from 'vitest'
import { createOpener } from '../src/createOpener'

const STEP_MS = 50
const MINUTE_MS = 60_000

/** Opens a listener that fails with the code that the test sets; undefined lets it succeed. */
function run(code: string | undefined) {
  const clock = new ManualClock()
  const events: string[] = []
  const logger = createLogger({
    context: {},
    level: 'info',
    write: (line) => void events.push(JSON.parse(line).context.event),
  })
  const observed = {
    code,
    clock,
    events,
    attempts: 0,
    isStopping: false,
    opened: false,
    error: undefined as unknown,
  }
  const open = async () => {
    observed.attempts += 1
    if (observed.code !== undefined) throw Object.assign(new Error(observed.code), { code: observed.code })
  }
  createOpener({ clock, logger, isStopping: () => observed.isStopping })(open).then(
    () => (observed.opened = true),
    (error: unknown) => (observed.error = error),
  )
  return observed
}

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed <= milliseconds; passed += STEP_MS) {
    await new Promise((resolve) => setImmediate(resolve))
    if (passed < milliseconds) clock.advance(STEP_MS)
  }
}

describe('createOpener', () => {
  it('opens once the address is free, and logs the wait once', async () => {
    const observed = run('EADDRINUSE')
    await pass(observed.clock, 1_000)
    expect(observed.opened).toBe(false)
    observed.code = undefined
    await pass(observed.clock, STEP_MS)
    expect(observed.opened).toBe(true)
    expect(observed.events).toEqual(['start.waiting'])
  })

  it.each(['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM'])(
    'waits for a resource that is short for a while: %s',
    async (code) => {
      const observed = run(code)
      await pass(observed.clock, 1_000)
      expect(observed).toMatchObject({ opened: false, error: undefined, events: ['start.waiting'] })
      observed.code = undefined
      await pass(observed.clock, STEP_MS)
      expect(observed.opened).toBe(true)
    },
  )

  it('never gives up, and opens an address that is free after minutes', async () => {
    const observed = run('EADDRNOTAVAIL')
    await pass(observed.clock, 5 * MINUTE_MS)
    expect(observed).toMatchObject({ opened: false, error: undefined })
    expect(observed.events.length).toBeGreaterThan(1)
    observed.code = undefined
    await pass(observed.clock, STEP_MS)
    expect(observed.opened).toBe(true)
  })

  it('opens nothing more if the machine stops after minutes', async () => {
    const observed = run('EADDRINUSE')
    await pass(observed.clock, 5 * MINUTE_MS)
    observed.isStopping = true
    await pass(observed.clock, STEP_MS)
    expect(observed).toMatchObject({ opened: false, error: { code: 'EADDRINUSE' } })
  })

  it('does not retry other errors', async () => {
    const observed = run('EACCES')
    await pass(observed.clock, 0)
    expect(observed).toMatchObject({ attempts: 1, error: { code: 'EACCES' } })
  })

  it('opens nothing more once the machine stops', async () => {
    const observed = run('EADDRINUSE')
    await pass(observed.clock, 1_000)
    const { attempts } = observed
    observed.isStopping = true
    observed.code = undefined
    await pass(observed.clock, STEP_MS)
    expect(observed).toMatchObject({ attempts, opened: false, error: { code: 'EADDRINUSE' } })
  })
})
