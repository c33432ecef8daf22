import { expect, it } from 'vitest'
import { contentDigest, partDigest } from '@forkstage/crashes'
import type { SeenRequest } from './fakeWorker'
import { startRelay, streams } from './relayHarness'

const HEADERS = { 'x-tokens': '5,5', 'x-parts': 'sys:2,doc:2,own:1' }

// Guards against a shared part that crashes are attributed to and that no good answer ever clears.
it('a whole stream clears the shared parts of its prompt', async () => {
  const { harness } = await startRelay([['decode', streams]])
  expect((await harness.send('/p/a', { headers: HEADERS })).status).toBe(200)
  expect(harness.written).toEqual([partDigest('model', 'sys'), partDigest('model', 'doc')])
})

it.each([
  ['engine', 'decode', [partDigest('model', 'sys'), partDigest('model', 'doc')]],
  // Guards against the refusal of what several poison contents at plain endpoints have in common.
  ['plain endpoint', undefined, undefined],
] as const)(
  'a request that an %s lost before it answered names the parts that may be to blame',
  async (_kind, stage, parts) => {
    const { harness } = await startRelay([[stage, (request: SeenRequest) => void request.socket.destroy()]])
    expect((await harness.send('/p/a', { headers: HEADERS })).status).toBe(502)
    expect(harness.lost).toMatchObject([{ parts }])
  },
)

// Guards against a poison request that crashes a second engine before the first crash is known.
it('a stream that is lost before its first event is sent again once it is known whether its engine crashed', async () => {
  let runs = 0
  const breaks = (request: SeenRequest) => {
    runs += 1
    request.socket.destroy()
  }
  const { harness } = await startRelay(
    [
      ['decode', breaks],
      ['decode', breaks],
    ],
    { resumable: true, attempts: 2 },
  )
  const content = contentDigest({ method: 'GET', host: 'h.example', path: '/p/a', body: Buffer.alloc(0) })
  harness.confirmed = () => {
    harness.refused.add(content)
    return Promise.resolve()
  }
  expect((await harness.send('/p/a', { headers: HEADERS })).status).toBe(502)
  expect(runs).toBe(1)
})
