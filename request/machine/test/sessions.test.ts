import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import {
  ALL_PARTS,
  place,
  type EndpointView,
  type PlacementView,
  type PlacePolicy,
  type PlaceRequest,
} from '@forkstage/place'
import { createRequest, stepRequest, type RequestEffect, type RequestEvent, type RequestState } from '../src'

/** Runs placement and the request state machine together, and records every event and effect. */
class Session {
  readonly state: RequestState = createRequest({
    request: 'bole-1~i~1',
    now: 0,
    deadline: 60_000,
    stallMs: 1_500,
    slotLeaseMs: 7_000,
    deliveredBefore: 0,
  })
  readonly lines: unknown[] = []
  now = 0

  constructor(private readonly view: PlacementView) {}

  /** Applies an event; requests for a placement are answered at once by `place`. */
  step(event: RequestEvent, after = 10): void {
    this.now += after
    this.lines.push({ at: this.now, event })
    for (const effect of stepRequest(this.state, event, this.now)) {
      this.lines.push({
        at: this.now,
        effect: effect.type === 'place' ? { ...effect, candidates: undefined } : effect,
      })
      if (effect.type === 'place') this.answerPlacement(effect)
    }
  }

  private answerPlacement(effect: Extract<RequestEffect, { type: 'place' }>): void {
    const request: PlaceRequest = {
      request: this.state.request,
      service: 'kelem-llm',
      model: 'kelem-7b',
      promptTokens: 2_600,
      expectedOutput: 40,
      kvBytesPerToken: 60_000,
      waited: effect.waited,
      avoid: effect.avoid,
    }
    const result = place(request, this.view, { policy, random: createSeededRandom(1) })
    if (result.type === 'placed')
      this.step({ type: 'placed', attempt: effect.attempt, placement: result, deterministic: true }, 0)
    else
      this.step(
        { type: 'refused', attempt: effect.attempt, reason: result.reason, retryAfter: result.retryAfter },
        0,
      )
  }
}

const policy: PlacePolicy = {
  goodputWeight: 2,
  wastedPrefillWeight: 1,
  ttftTarget: 770,
  tbtTarget: 61,
  defaultBytesPerMs: 1_250_000,
  parts: { ...ALL_PARTS, localPrefill: false },
}

const engine = (pool: 'prefill' | 'decode', patch: Partial<EndpointView> = {}): EndpointView => ({
  row: {
    endpoint: `${pool}-1`,
    address: '127.0.0.1:9001',
    domain: 'bole-hall',
    service: 'kelem-llm',
    pool,
    models: ['kelem-7b'],
    weight: 1,
    maxInFlight: 48,
    kvTokens: 160_000,
    promptTokensPerSecond: 0,
    state: 'serve',
    checksFences: true,
    repeatable: true,
  },
  queuedPrefillTokens: 0,
  prefillTokensPerMs: 20,
  runningStreams: 0,
  kvTokensUsed: 0,
  stepMs: 20,
  cachedTokens: 0,
  shareRatio: 1,
  inFlight: 0,
  ...patch,
})

const viewOf = (...endpoints: EndpointView[]): PlacementView => ({ endpoints, links: new Map() })
const healthy = () => viewOf(engine('prefill'), engine('decode'))
const golden = (name: string) => `./golden/${name}.golden.json`
const serializeLines = (session: Session) => `${JSON.stringify(session.lines, null, 1)}\n`

describe('whole sessions', () => {
  it('a streamed answer', async () => {
    const session = new Session(healthy())
    const attempt = 0
    const epoch = 64
    session.step({ type: 'start' })
    session.step({ type: 'claimed', epoch: 1 })
    session.step({ type: 'reserved', attempt })
    session.step({ type: 'prefilled', attempt, freshTokens: 2_600, keepMs: 4_000 }, 140)
    session.step({ type: 'line', attempt, line: { type: 'transfer', moved: 78_000_000, total: 156_000_000 } })
    for (const seq of [0, 2, 1, 1])
      session.step({
        type: 'line',
        attempt,
        line: { type: 'token', request: 'bole-1~i~1', epoch, seq, text: ` t${seq}` },
      })
    session.step({
      type: 'line',
      attempt,
      line: { type: 'end', request: 'bole-1~i~1', epoch, seq: 3, finish: 'stop' },
    })
    await expect(serializeLines(session)).toMatchFileSnapshot(golden('answered'))
  })

  it('an answer whose stream broke and was resumed', async () => {
    const session = new Session(healthy())
    session.step({ type: 'start' })
    session.step({ type: 'claimed', epoch: 1 })
    session.step({ type: 'reserved', attempt: 0 })
    session.step({ type: 'prefilled', attempt: 0, freshTokens: 100, keepMs: 4_000 })
    session.step({
      type: 'line',
      attempt: 0,
      line: { type: 'token', request: 'bole-1~i~1', epoch: 64, seq: 0, text: 'a' },
    })
    session.step({ type: 'streamClosed', attempt: 0, reason: 'cut', notRun: false })
    session.step({
      type: 'line',
      attempt: 0,
      line: { type: 'token', request: 'bole-1~i~1', epoch: 64, seq: 1, text: 'b' },
    })
    session.step({
      type: 'line',
      attempt: 0,
      line: { type: 'end', request: 'bole-1~i~1', epoch: 64, seq: 2, finish: 'stop' },
    })
    await expect(serializeLines(session)).toMatchFileSnapshot(golden('resumed'))
  })

  it('a caller that disconnected during the prefill', async () => {
    const session = new Session(healthy())
    session.step({ type: 'start' })
    session.step({ type: 'reserved', attempt: 0 })
    session.step({ type: 'callerGone' })
    await expect(serializeLines(session)).toMatchFileSnapshot(golden('cancelled'))
  })

  const refusals: [string, PlacementView][] = [
    ['no-endpoint', viewOf()],
    ['no-prefill', viewOf(engine('prefill', { closed: 'ejected' }), engine('decode'))],
    ['no-decode', viewOf(engine('prefill'), engine('decode', { closed: 'leaving' }))],
    ['no-memory', viewOf(engine('prefill'), engine('decode', { kvTokensUsed: 159_000 }))],
    ['no-credit', viewOf(engine('prefill', { closed: 'no-credit' }), engine('decode'))],
    ['too-late', viewOf(engine('prefill', { queuedPrefillTokens: 40_000 }), engine('decode'))],
  ]
  it.each(refusals)('a refusal: %s', async (reason, view) => {
    const session = new Session(view)
    session.step({ type: 'start' })
    expect(session.lines.at(-1)).toMatchObject({
      effect: { type: 'end', end: { type: 'refused', reason, execution: 'not-run' } },
    })
    await expect(serializeLines(session)).toMatchFileSnapshot(golden(`refused-${reason}`))
  })

  it('a claim that another box holds, and a claim that failed', async () => {
    const lost = new Session(healthy())
    lost.step({ type: 'start' })
    lost.step({ type: 'reserved', attempt: 0 })
    lost.step({ type: 'claimLost' })
    await expect(serializeLines(lost)).toMatchFileSnapshot(golden('superseded'))
    const failed = new Session(healthy())
    failed.step({ type: 'start' })
    failed.step({ type: 'claimFailed', reason: 'the journal is full' })
    await expect(serializeLines(failed)).toMatchFileSnapshot(golden('refused-claim-failed'))
  })

  it('a prefill engine that proved its refusal, without another engine', async () => {
    const session = new Session(healthy())
    session.step({ type: 'start' })
    session.step({ type: 'claimed', epoch: 1 })
    session.step({ type: 'reserved', attempt: 0 })
    session.step({
      type: 'stepFailed',
      step: 'prefill',
      attempt: 0,
      endpoint: 'prefill-1',
      reason: 'refused',
      notRun: true,
    })
    await expect(serializeLines(session)).toMatchFileSnapshot(golden('refused-by-engine'))
  })
})
