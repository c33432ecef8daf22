import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Placement } from '@forkstage/place'
import {
  createRequest,
  engineEpoch,
  stepRequest,
  type RequestEffect,
  type RequestEvent,
  type RequestState,
} from '../src'

const RUNS = Number(process.env.RUNS ?? 400)
const SEED = Number(process.env.SEED ?? 20261202)

const placement = (prefill: string, decode: string): Placement => ({
  type: 'placed',
  prefill,
  decode,
  link: 'a>a',
  linkBytesPerMs: 1,
  reserveTokens: 10,
  kvBytes: 10,
  candidates: [],
  figures: { prefill, decode, waitMs: 0, prefillMs: 0, transferMs: 0, ttftMs: 0, tbtMs: 0, cost: 0 },
})

const create = (patch = {}) =>
  createRequest({
    request: 'r',
    now: 0,
    deadline: 1_000,
    stallMs: 50,
    slotLeaseMs: 100,
    deliveredBefore: 0,
    ...patch,
  })

/** Simulates what a request depends on: answers its effects out of order, twice, with failures or not at all. */
class RequestEnvironment {
  readonly state: RequestState = create()
  /** Pending events; any of them may be the next, or may never arrive. */
  waiting: RequestEvent[] = []
  /** The answer to the claim often arrives after the first tokens. */
  claimAsked = false
  held = new Map<string, number>()
  ran = new Set<number>()
  ends: RequestEffect[] = []
  delivered = 0
  now = 0

  step(event: RequestEvent): void {
    for (const effect of stepRequest(this.state, event, this.now)) this.answer(effect)
  }

  private answer(effect: RequestEffect): void {
    if (
      'endpoint' in effect &&
      'epoch' in effect &&
      effect.type !== 'release' &&
      effect.type !== 'noteDecoding'
    )
      this.held.set(effect.endpoint, effect.epoch)
    const attempt = 'attempt' in effect ? effect.attempt : 0
    const failed = (step: 'reserve' | 'prefill', endpoint: string, notRun: boolean): RequestEvent => ({
      type: 'stepFailed',
      step,
      attempt,
      endpoint,
      reason: 'x',
      notRun,
    })
    if (effect.type === 'claim') this.claimAsked = true
    if (effect.type === 'place') {
      this.waiting.push({
        type: 'placed',
        attempt,
        placement: placement(effect.keepPrefill ?? `p${attempt}`, `d${attempt}`),
        deterministic: true,
      })
      this.waiting.push({ type: 'refused', attempt, reason: 'no-memory', retryAfter: 1 })
    }
    if (effect.type === 'reserve')
      this.waiting.push({ type: 'reserved', attempt }, failed('reserve', effect.endpoint, true))
    if (effect.type === 'prefill') {
      this.ran.add(attempt)
      this.waiting.push(
        { type: 'prefilled', attempt, freshTokens: 10, keepMs: 400 },
        failed('prefill', effect.endpoint, false),
      )
    }
    if (effect.type === 'decode') {
      this.held.set(effect.placement.decode, effect.epoch)
      this.stream(attempt, effect.epoch, 0)
    }
    if (effect.type === 'resume') this.stream(attempt, effect.epoch, effect.from)
    if (effect.type === 'release') this.held.delete(effect.endpoint)
    if (effect.type === 'deliver') {
      expect(this.state.claim).toBe('won')
      expect(effect.upTo).toBeGreaterThan(this.delivered)
      this.delivered = effect.upTo
    }
    if (effect.type === 'end') this.ends.push(effect)
  }

  private stream(attempt: number, epoch: number, from: number): void {
    for (let seq = from; seq < 5; seq += 1)
      this.waiting.push({
        type: 'line',
        attempt,
        line: { type: 'token', request: 'r', epoch, seq, text: `${seq}` },
      })
    this.waiting.push({
      type: 'line',
      attempt,
      line: { type: 'end', request: 'r', epoch, seq: 5, finish: 'stop' },
    })
    this.waiting.push({ type: 'streamClosed', attempt, reason: 'cut', notRun: false })
  }
}

describe('stepRequest', () => {
  it('keeps its guarantees whatever answers arrive, in any order', () => {
    const choices = fc.array(fc.tuple(fc.nat(1_000), fc.integer({ min: 0, max: 99 })), {
      minLength: 20,
      maxLength: 80,
    })
    fc.assert(
      fc.property(choices, (steps) => {
        const environment = new RequestEnvironment()
        environment.step({ type: 'start' })
        for (const [pick, kind] of steps) {
          environment.now += kind % 7
          if (kind === 0) environment.step({ type: 'callerGone' })
          else if (kind === 1) environment.step({ type: 'claimLost' })
          else if (kind === 2) environment.step({ type: 'claimFailed', reason: 'x' })
          else if (kind < 8) environment.step({ type: 'tick' })
          else if (kind < 13 && environment.claimAsked) environment.step({ type: 'claimed', epoch: 1 })
          else if (environment.waiting.length > 0) {
            // Two in three in order of arrival, the others out of order; some are repeated.
            const index = kind % 3 === 0 ? pick % environment.waiting.length : 0
            const event = environment.waiting[index]!
            if (pick % 10 > 0) environment.waiting.splice(index, 1)
            environment.step(event)
          }
        }
        environment.now = 2_000
        environment.step({ type: 'tick' })
        expect(environment.ends).toHaveLength(1)
        const { end } = environment.ends[0] as Extract<RequestEffect, { type: 'end' }>
        if ('execution' in end && end.execution === 'not-run') expect(environment.ran.size).toBe(0)
        if (end.type === 'answered') {
          expect(environment.state.order.from(0).join('')).toBe('01234')
          expect(environment.delivered).toBe(5)
        }
        const stillHeld = [...environment.held.keys()].filter(
          (endpoint) => end.type !== 'answered' || endpoint.startsWith('x'),
        )
        expect(stillHeld.filter((endpoint) => !fetched(environment, endpoint))).toEqual([])
      }),
      { numRuns: RUNS, seed: SEED },
    )
  })

  it('reports a request as not run when the only engine asked proves that it refused', () => {
    const state = create()
    const step = (event: RequestEvent) => stepRequest(state, event, 1)
    step({ type: 'start' })
    step({ type: 'placed', attempt: 0, placement: placement('p', 'd'), deterministic: true })
    step({ type: 'reserved', attempt: 0 })
    step({ type: 'stepFailed', step: 'prefill', attempt: 0, endpoint: 'p', reason: 'refused', notRun: true })
    const effects = step({ type: 'refused', attempt: 1, reason: 'no-prefill', retryAfter: 5 })
    expect(effects.at(-1)).toEqual({
      type: 'end',
      end: { type: 'refused', reason: 'no-prefill', retryAfter: 5, execution: 'not-run' },
    })
  })

  it('moves a kept prefill to another decode engine when the transfer stalls', () => {
    const state = create()
    const step = (event: RequestEvent, now = 1) => stepRequest(state, event, now)
    step({ type: 'start' })
    step({ type: 'placed', attempt: 0, placement: placement('p', 'd'), deterministic: true })
    step({ type: 'reserved', attempt: 0 })
    step({ type: 'prefilled', attempt: 0, freshTokens: 10, keepMs: 900 })
    const effects = step({ type: 'tick' }, 60)
    expect(effects).toContainEqual(expect.objectContaining({ type: 'release', endpoint: 'd' }))
    expect(effects).toContainEqual(
      expect.objectContaining({ type: 'place', attempt: 1, keepPrefill: 'p', avoid: ['d'] }),
    )
    step({ type: 'placed', attempt: 1, placement: placement('p', 'd2'), deterministic: true }, 61)
    expect(step({ type: 'reserved', attempt: 1 }, 62)[0]).toMatchObject({ type: 'decode', attempt: 1 })
  })

  /**
   * Guards against an answer that has begun and is cut off with most of its time left, because a refused placement ends
   * it like a request that has not been answered yet.
   */
  it.each([true, false])(
    'requests a placement again for an answer that has begun (deterministic: %s)',
    (same) => {
      const state = create()
      const step = (event: RequestEvent, now: number) => stepRequest(state, event, now)
      step({ type: 'claimed', epoch: 1 }, 0)
      step({ type: 'start' }, 0)
      step({ type: 'placed', attempt: 0, placement: placement('p', 'd'), deterministic: same }, 0)
      step({ type: 'reserved', attempt: 0 }, 0)
      step({ type: 'prefilled', attempt: 0, freshTokens: 10, keepMs: 900 }, 0)
      const epoch = engineEpoch(state)
      step({ type: 'line', attempt: 0, line: { type: 'token', request: 'r', epoch, seq: 0, text: 'a' } }, 1)
      expect(state.delivered).toBe(1)
      for (let broken = 0; broken < 3; broken += 1)
        step({ type: 'streamClosed', attempt: 0, reason: 'reset', notRun: false }, 2)
      const refused = step({ type: 'refused', attempt: 1, reason: 'no-memory', retryAfter: 5_000 }, 10)
      if (!same) return expect(refused.at(-1)).toMatchObject({ type: 'end', end: { type: 'failed' } })
      expect(refused).toEqual([])
      expect(step({ type: 'tick' }, 400)).toEqual([])
      const again = step({ type: 'tick' }, 411)
      expect(again).toEqual([expect.objectContaining({ type: 'place', attempt: 1, avoid: [] })])
      // Too late for another wait: the request ends as one that may have run.
      const end = step({ type: 'refused', attempt: 1, reason: 'no-memory', retryAfter: 5_000 }, 700)
      expect(end.at(-1)).toMatchObject({ type: 'end', end: { type: 'failed', execution: 'may-have-run' } })
    },
  )

  it('does not join two answers if the engine is not deterministic', () => {
    const state = create({ deliveredBefore: 3 })
    const effects = [
      ...stepRequest(state, { type: 'claimed', epoch: 2 }, 0),
      ...stepRequest(state, { type: 'start' }, 0),
      ...stepRequest(
        state,
        { type: 'placed', attempt: 0, placement: placement('p', 'd'), deterministic: false },
        1,
      ),
    ]
    expect(effects.at(-1)).toMatchObject({
      type: 'end',
      end: { type: 'failed', reason: 'the same answer cannot be generated again' },
    })
  })
})

/** A prefill engine whose result was fetched holds nothing any more. */
function fetched(environment: RequestEnvironment, endpoint: string): boolean {
  return endpoint.startsWith('p') && environment.state.firstTokenAt !== undefined
}
