import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { AnswerMemory } from '../src'
import { MAX_ANSWER_BYTES } from '../src/relayParts'

const PIECE = 64 * 1024
const MIB = 1024 * 1024
const SMALL_PIECE = 4 * 1024
/** The answers' part of the budget of a process that may use 200 MB. */
const BUDGET = 200 * MIB * 0.3 * 0.35
/** What the answers that wait may hold together, with a piece of each that was read before it was paused. */
const MAX_WAITING = 4 * MIB

interface Answer {
  held: ReturnType<AnswerMemory['open']>
  bytes: number
  isPaused: boolean
}

function openAnswers(memory: AnswerMemory, count: number): Answer[] {
  return Array.from({ length: count }, () => {
    const answer: Answer = { held: undefined as never, bytes: 0, isPaused: false }
    answer.held = memory.open({
      pause: () => (answer.isPaused = true),
      resume: () => (answer.isPaused = false),
    })
    return answer
  })
}

/** Reads one piece of an answer that is not paused; at the limit the answer fails. */
function read(answer: Answer): void {
  if (answer.isPaused) return
  answer.bytes += PIECE
  if (answer.bytes <= MAX_ANSWER_BYTES) return answer.held.hold(answer.bytes)
  answer.held.release()
  answer.bytes = 0
}

/** Reads a small piece of an answer that is not paused. */
function readSmall(answer: Answer): void {
  if (answer.isPaused) return
  answer.bytes += SMALL_PIECE
  answer.held.hold(answer.bytes)
}

describe('the memory for answers', () => {
  // Guards against memory that grows with the number of endpoints that send bytes without end.
  it.each([8, 48, 300])('is bounded whatever %i endpoints send', (count) => {
    const memory = new AnswerMemory()
    const answers = openAnswers(memory, count)
    let highest = 0
    let failed = 0
    for (let turn = 0; turn < 2_000; turn += 1)
      for (const answer of answers) {
        const before = answer.bytes
        read(answer)
        if (answer.bytes < before) failed += 1
        highest = Math.max(highest, memory.countedBytes)
      }
    expect(highest).toBeLessThanOrEqual(MAX_WAITING + MAX_ANSWER_BYTES + count * PIECE)
    // The first one always goes on, so that each of them comes to its limit.
    expect(failed).toBeGreaterThan(5)
  })

  // Guards against memory that grows by 64 KB with each caller.
  it.each([200, 1_500])('is bounded by the budget for %i answers that nobody reads', (count) => {
    const memory = new AnswerMemory(BUDGET)
    const answers = openAnswers(memory, count)
    for (let turn = 0; turn < 64; turn += 1) answers.forEach(readSmall)
    const held = answers.reduce((sum, { bytes }) => sum + bytes, 0)
    expect(held).toBeLessThanOrEqual(BUDGET + count * SMALL_PIECE)
  })

  it('never holds up an answer that is small', () => {
    const memory = new AnswerMemory()
    const [small, ...large] = openAnswers(memory, 9)
    for (let turn = 0; turn < 100; turn += 1) large.forEach(read)
    expect(memory.waitingCount).toBe(7)
    read(small!)
    expect(small!.isPaused).toBe(false)
  })

  it('is free again, and nobody waits, once all answers are released', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(5), fc.constantFrom('read', 'complete', 'release', 'shrink')), {
          maxLength: 400,
        }),
        (steps) => {
          const memory = new AnswerMemory()
          const answers = openAnswers(memory, 6)
          const over = new Set<Answer>()
          for (const [index, step] of steps) {
            const answer = answers[index]!
            if (over.has(answer)) continue
            if (step === 'read') for (let piece = 0; piece < 20; piece += 1) read(answer)
            if (step === 'shrink') answer.held.hold((answer.bytes = 0))
            if (step === 'complete') answer.held.complete()
            if (step === 'release') answer.held.release()
            if (step === 'complete' || step === 'release') over.add(answer)
            expect(memory.countedBytes).toBeGreaterThanOrEqual(0)
            const reading = answers.filter((one) => !over.has(one) && one.bytes > PIECE)
            if (reading.length > 0) expect(reading.some((one) => !one.isPaused)).toBe(true)
          }
          answers.forEach(({ held }) => held.release())
          expect(memory.countedBytes).toBe(0)
          expect(memory.waitingCount).toBe(0)
        },
      ),
    )
  })
})
