import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { SeenRequest } from './fakeWorker'
import { carryAll, type Carrier } from './carrier'
import { startRelay } from './relayHarness'

/* Guards against heads of answers that throw inside the entry, so that their callers wait and their places stay taken. */

const RUNS = Number(process.env.RUNS ?? 40)
const SEED = Number(process.env.SEED ?? 1)
const TIME_UP = 'the time is up'

const digits = fc.array(fc.constantFrom(...'0123456789'), { minLength: 1, maxLength: 4 })
const status = fc.oneof(
  fc.integer({ min: 0, max: 999 }).map((number) => String(number).padStart(3, '0')),
  digits.map((one) => one.join('')),
)
const version = fc.constantFrom('1.1', '1.1', '1.1', '1.0', '0.9', '2.0', '1.9', '')
const latin = fc.array(fc.integer({ min: 0, max: 255 }), { maxLength: 12 })
const text = latin.map((bytes) => Buffer.from(bytes).toString('latin1'))
const name = fc.oneof(
  text,
  fc.constantFrom('Content-Length', 'Transfer-Encoding', 'Trailer', 'Connection', 'Upgrade', 'x-id', 'Date'),
)
const value = fc.oneof(text, fc.constantFrom('chunked', '5', '0', '-1', '5, 5', 'close', 'h2c', 'x-stamp'))
const head = fc.record({
  version,
  status,
  reason: text,
  rows: fc.array(fc.tuple(name, value), { maxLength: 4 }),
  isOwn: fc.boolean(),
})

type Head = typeof head extends fc.Arbitrary<infer One> ? One : never

const sends = (one: Head) => (request: SeenRequest) => {
  const own = one.isOwn
    ? [
        ['x-id', request.headers['x-id']],
        ['x-stamp', 's'],
      ]
    : []
  const rows = [...own, ...one.rows].map(([key, text]) => `${key}: ${text}\r\n`).join('')
  const bytes = `HTTP/${one.version} ${one.status} ${one.reason}\r\n${rows}\r\nid: 1\ndata: x\n\n`
  request.socket.end(Buffer.from(bytes, 'latin1'))
}

/** Sends one request; resolves to whether it ended before its time was up, and what it still holds at its endpoint. */
async function play(one: Head, stage: 'decode' | undefined, isCarried: boolean) {
  const { harness } = await startRelay([[stage, sends(one)]])
  let carrier: Carrier | undefined
  if (isCarried) harness.dialer = carrier = await carryAll()
  // An answer may be cut.
  await harness.send('/p/a', { headers: { 'x-tokens': '5,5' } }).catch(() => undefined)
  const [report] = harness.reports
  const inFlight = harness.pool.get('i-0')?.inFlight
  harness.stop()
  carrier?.stop()
  return { outcome: report?.outcome, inFlight }
}

describe('any head that an endpoint can send', () => {
  it.each([
    ['plain', undefined, false],
    ['stream', 'decode', false],
    ['plain, carried', undefined, true],
    ['stream, carried', 'decode', true],
  ] as const)(
    'ends the request before its deadline and releases its place (%s)',
    async (_name, stage, via) => {
      await fc.assert(
        fc.asyncProperty(head, async (one) => {
          const { outcome, inFlight } = await play(one, stage, via)
          expect(outcome).toBeDefined()
          expect(outcome).not.toBe(TIME_UP)
          expect(inFlight).toBe(0)
        }),
        { numRuns: RUNS, seed: SEED },
      )
    },
  )

  it.each([
    ['099', undefined],
    ['099', 'decode'],
    ['000', 'decode'],
    ['101', undefined],
    ['101', 'decode'],
  ] as const)('is a failure with a status of %s (%s)', async (code, stage) => {
    const rows: [string, string][] =
      code === '101'
        ? [
            ['Connection', 'Upgrade'],
            ['Upgrade', 'h2c'],
          ]
        : []
    const one: Head = { version: '1.1', status: code, reason: 'Odd', rows, isOwn: true }
    const { harness } = await startRelay([[stage, sends(one)]])
    expect(await harness.send('/p/a', { headers: { 'x-tokens': '5,5' } })).toMatchObject({ status: 502 })
    expect(harness.pool.get('i-0')?.inFlight).toBe(0)
  })
})
