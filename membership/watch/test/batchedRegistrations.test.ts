// Guards against one answer per registration and follower while a fleet starts. With 300 machines and 3,000
// registrations within seconds, control machines used 92% of a core before the first request, because each
// answer also searched the whole directory. 300 registrations, one a millisecond, with 20 entries took 6,000
// answers without batches and 180 with batches.
import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { Directory, type RegisteredEndpoint } from '@forkstage/directory'
import { NO_EVACUATIONS } from '@forkstage/evacuation'
import { WatchHub, type WatchAnswer } from '../src'
import { CONTROL, endpoint, settle } from './followerHarness'

const WATCHERS = 20
const REGISTRATIONS = 300
/**
 * Longest time until entries know an endpoint while many register. Endpoints must receive work within a
 * second.
 */
const KNOWN_WITHIN_MS = 1_000

/** A hub and entries that send a new request after each answer. */
function createBatchHarness() {
  const clock = new ManualClock()
  const directory = new Directory(() => clock.now())
  const hub = new WatchHub({
    epoch: 'life-1',
    directory,
    sheet: () => undefined,
    evacuations: () => NO_EVACUATIONS,
    supposedEvacuations: () => [],
    members: () => [CONTROL],
    leader: () => undefined,
    clock,
  })
  const answers: { entry: string; answer: WatchAnswer; at: number }[] = []
  const follow = async (entry: string) => {
    let [epoch, position] = ['', 0]
    for (;;) {
      const request = { epoch, position, entry, sheetVersion: -1, members: [CONTROL], holdMs: 1_000 }
      const answer = await hub.answer(request)
      if (answer.endpoints.length > 0) answers.push({ entry, answer, at: clock.now() })
      ;({ epoch, position } = answer)
    }
  }
  for (let watcher = 0; watcher < WATCHERS; watcher += 1) void follow(`e${watcher}`)
  const register = (id: string, fields: Partial<RegisteredEndpoint> = {}) => {
    directory.merge([{ ...endpoint(id), ...fields }])
    hub.notifyChange()
  }
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 1) {
      clock.advance(1)
      await settle()
    }
  }
  return { clock, answers, register, advance }
}

describe('batched registrations', () => {
  it('are sent together while many endpoints register, all within a second', async () => {
    const { clock, answers, register, advance } = createBatchHarness()
    await settle()
    const registeredAt = new Map<string, number>()
    for (let count = 0; count < REGISTRATIONS; count += 1) {
      registeredAt.set(`i-${count}`, clock.now())
      register(`i-${count}`)
      await advance(1)
    }
    await advance(KNOWN_WITHIN_MS)
    expect(answers.length).toBeLessThanOrEqual(WATCHERS * 10)
    for (let watcher = 0; watcher < WATCHERS; watcher += 1) {
      const own = answers.filter(({ entry }) => entry === `e${watcher}`)
      const received = own.flatMap(({ answer, at }) => answer.endpoints.map(({ id }) => [id, at] as const))
      expect(new Set(received.map(([id]) => id)).size).toBe(REGISTRATIONS)
      for (const [id, at] of received) expect(at - registeredAt.get(id)!).toBeLessThan(KNOWN_WITHIN_MS)
    }
  })

  it('are sent at once if none arrived for a while', async () => {
    const { answers, register, advance } = createBatchHarness()
    await settle()
    for (const id of ['i-1', 'i-2', 'i-3']) {
      register(id)
      await settle()
      expect(answers.length).toBe(WATCHERS)
      answers.splice(0)
      await advance(KNOWN_WITHIN_MS)
    }
  })

  // Guards against endpoints that leave or restart and are still used while a batch of others is collected.
  it.each([
    ['leaves', { state: 'draining', sequence: 2 } as const],
    ['has left', { state: 'left' } as const],
    ['is cold again', { coldMs: 4_000, sequence: 2 } as const],
  ])('do not delay the report that an endpoint %s', async (_what, fields) => {
    const { answers, register, advance } = createBatchHarness()
    await settle()
    register('i-1')
    await advance(KNOWN_WITHIN_MS)
    register('i-2')
    await settle()
    answers.splice(0)
    register('i-1', fields)
    await settle()
    expect(answers.length).toBe(WATCHERS)
    expect(answers.every(({ answer }) => answer.endpoints.some(({ id }) => id === 'i-1'))).toBe(true)
  })
})
