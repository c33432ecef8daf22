// Guards against streams refused while it is open whether their parts crash engines, and against many trials at once.
import { ManualClock } from '@forkstage/clock'
import type { ContentRefusal, TrialAnswer } from '@forkstage/crashes'
import { expect, it } from 'vitest'
import { PartGuard } from '../src/partGuard'
import type { RelayJob, RelayParts } from '../src/relayParts'

interface CrashState {
  refusal?: ContentRefusal
  part?: string
  answer?: TrialAnswer
}

const OPEN: ContentRefusal = { ends: 3, leftMs: 400, openMs: 400 }

/** Starts one acquisition of a stream with 10 s left. */
function start(state: CrashState) {
  const clock = new ManualClock()
  const asked: string[] = []
  const ended: string[] = []
  const crashes = {
    refusal: () => state.refusal,
    partOnTrial: () => state.part,
    askTurn: (part: string) => {
      asked.push(part)
      return Promise.resolve(state.answer)
    },
    endTurn: (part: string) => void ended.push(part),
  }
  const parts = { clock, crashes } as unknown as RelayParts
  const job = { request: { id: 'r' }, service: { name: 's' }, endsAt: 10_000 } as unknown as RelayJob
  const guard = new PartGuard(parts, job, () => false)
  const outcome: { value?: ContentRefusal | 'sent' } = {}
  void guard.acquire().then((refusal) => void (outcome.value = refusal ?? 'sent'))
  const pass = async (ms: number) => {
    for (let at = 0; at < ms; at += 10) {
      clock.advance(10)
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve()
    }
  }
  return { state, guard, outcome, asked, ended, pass }
}

it('sends at once what is neither refused nor on trial', async () => {
  const { outcome, asked, pass } = start({})
  await pass(10)
  expect(outcome.value).toBe('sent')
  expect(asked).toEqual([])
})

it('waits while a refusal is open, then sends or refuses, and refuses after a second', async () => {
  const cleared = start({ refusal: OPEN })
  const certain = start({ refusal: OPEN })
  const late = start({ refusal: OPEN })
  for (const one of [cleared, certain, late]) {
    await one.pass(200)
    expect(one.outcome.value).toBeUndefined()
  }
  cleared.state.refusal = undefined
  certain.state.refusal = { ends: 3, leftMs: 2_000 }
  for (const one of [cleared, certain, late]) await one.pass(100)
  expect(cleared.outcome.value).toBe('sent')
  expect(certain.outcome.value).toEqual({ ends: 3, leftMs: 2_000 })
  expect(late.outcome.value).toBeUndefined()
  await late.pass(800)
  expect(late.outcome.value).toEqual(OPEN)
})

it('waits for its turn with a part on trial, and ends the turn', async () => {
  const { state, outcome, asked, ended, guard, pass } = start({
    part: 'part-sys',
    answer: { type: 'later', retryAfterMs: 50 },
  })
  await pass(200)
  expect(outcome.value).toBeUndefined()
  expect(asked.length).toBeGreaterThan(2)
  state.answer = { type: 'anywhere' }
  await pass(100)
  expect(outcome.value).toBe('sent')
  guard.end()
  guard.end()
  expect(ended).toEqual(['part-sys'])
})

it('needs no turn once an answer has cleared the part, or after a second', async () => {
  const cleared = start({ part: 'part-sys', answer: { type: 'later', retryAfterMs: 50 } })
  const late = start({ part: 'part-sys', answer: { type: 'later', retryAfterMs: 50 } })
  await cleared.pass(100)
  cleared.state.part = undefined
  await cleared.pass(100)
  await late.pass(1_100)
  for (const { outcome, guard, ended } of [cleared, late]) {
    expect(outcome.value).toBe('sent')
    guard.end()
    expect(ended).toEqual([])
  }
})
