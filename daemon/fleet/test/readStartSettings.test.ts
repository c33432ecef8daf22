import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { readStartSettings } from '../src/readStartSettings'

const STEP_MS = 10
const MINUTE_MS = 60_000
const WAIT_MS = 5_000

/** Reads settings from a file whose content the test sets; an error is thrown by the read. */
function run(content: string | Error, waitMs?: number) {
  const clock = new ManualClock()
  const reasons: string[] = []
  const observed = { content, clock, reasons, result: undefined as unknown, error: undefined as unknown }
  const read = async () => {
    if (observed.content instanceof Error) throw observed.content
    return observed.content
  }
  const parse = (text: string) => JSON.parse(text) as unknown
  readStartSettings({ read, parse, clock, waitMs, onWaiting: (reason) => void reasons.push(reason) }).then(
    ({ settings }) => (observed.result = settings),
    (error: unknown) => (observed.error = error),
  )
  return observed
}

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += STEP_MS) {
    await new Promise((resolve) => setImmediate(resolve))
    clock.advance(STEP_MS)
  }
  await new Promise((resolve) => setImmediate(resolve))
}

describe('readStartSettings', () => {
  it('waits while the settings have faults, and reports each reason once', async () => {
    const observed = run(new Error('no such file'))
    await pass(observed.clock, 1_000)
    observed.content = '{"a":'
    await pass(observed.clock, 1_000)
    expect(observed.result).toBeUndefined()
    expect(observed.reasons).toHaveLength(2)
    observed.content = '{"a":1}'
    await pass(observed.clock, 300)
    expect(observed.result).toEqual({ a: 1 })
  })

  it('never gives up, and repeats its reason', async () => {
    const observed = run('{"a":')
    await pass(observed.clock, MINUTE_MS)
    expect(observed.error).toBeUndefined()
    expect(observed.reasons.length).toBeGreaterThan(1)
    expect(new Set(observed.reasons).size).toBe(1)
    observed.content = '{"a":1}'
    await pass(observed.clock, 300)
    expect(observed.result).toEqual({ a: 1 })
  })

  it('gives up after the wait that it is given', async () => {
    const observed = run('{"a":', WAIT_MS)
    await pass(observed.clock, WAIT_MS - 100)
    expect(observed.error).toBeUndefined()
    await pass(observed.clock, 500)
    expect(observed.error).toBeInstanceOf(SyntaxError)
  })
})
