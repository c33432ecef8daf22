import { ManualClock } from '@forkstage/clock'
import { describe, expect, it } from 'vitest'
import { readSettled, type ReadSettledOptions } from '../src/readSettled'

const APART_MS = 50

/** Reads a file whose content the test sets. */
function run(content: string, options: Partial<ReadSettledOptions> = {}, clock = new ManualClock(1_000)) {
  const observed = { content, clock, reads: 0, result: undefined as string | undefined }
  const read = async () => {
    observed.reads += 1
    return observed.content
  }
  void readSettled({ read, apartMs: APART_MS, clock, ...options }).then((text) => (observed.result = text))
  return observed
}

/** Waits until all tasks that are ready have run. */
const flushTasks = () => new Promise((resolve) => setImmediate(resolve))

async function pass(clock: ManualClock, milliseconds: number): Promise<void> {
  await flushTasks()
  clock.advance(milliseconds)
  await flushTasks()
}

describe('readSettled', () => {
  it('resolves to a text once two reads agree', async () => {
    const observed = run('whole')
    await pass(observed.clock, APART_MS - 1)
    expect(observed.result).toBeUndefined()
    await pass(observed.clock, 1)
    expect(observed).toMatchObject({ result: 'whole', reads: 2 })
  })

  it('resolves to the later text if the file is written meanwhile', async () => {
    const observed = run('who')
    await flushTasks()
    observed.content = 'whole'
    await pass(observed.clock, APART_MS)
    expect(observed.result).toBeUndefined()
    await pass(observed.clock, APART_MS)
    expect(observed).toMatchObject({ result: 'whole', reads: 3 })
  })

  it('resolves at once to the text in use', async () => {
    const observed = run('whole', { known: 'whole' })
    await flushTasks()
    expect(observed).toMatchObject({ result: 'whole', reads: 1 })
  })

  it('resolves at once if an earlier read agrees', async () => {
    const observed = run('whole', { earlier: { text: 'whole', readAt: 1_000 - APART_MS } })
    await flushTasks()
    expect(observed).toMatchObject({ result: 'whole', reads: 1 })
  })

  it('waits for the rest of the time if the earlier read was just before', async () => {
    const observed = run('whole', { earlier: { text: 'whole', readAt: 990 } })
    await pass(observed.clock, APART_MS - 11)
    expect(observed.result).toBeUndefined()
    await pass(observed.clock, 1)
    expect(observed.result).toBe('whole')
  })

  it('does not use an earlier read that differs', async () => {
    const observed = run('whole', { earlier: { text: 'who', readAt: 0 } })
    await flushTasks()
    expect(observed.result).toBeUndefined()
    await pass(observed.clock, APART_MS)
    expect(observed.result).toBe('whole')
  })
})
