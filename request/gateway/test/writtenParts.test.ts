import { expect, it } from 'vitest'
import { partDigest } from '@forkstage/crashes'
import { answers, startRelay, streams } from './relayHarness'

const HEADERS = { 'x-tokens': '5,5', 'x-parts': 'sys:2,doc:2,own:1' }

// Guards against a shared part that crashes are attributed to and that no good answer ever clears.
it.each([
  ['plain', undefined, answers],
  ['streaming', 'decode', streams],
] as const)('a whole %s answer clears the shared parts of its prompt', async (_kind, stage, behaviour) => {
  const { harness } = await startRelay([[stage, behaviour]])
  expect((await harness.send('/p/a', { headers: HEADERS })).status).toBe(200)
  const service = stage === undefined ? 'plain' : 'model'
  expect(harness.written).toEqual([partDigest(service, 'sys'), partDigest(service, 'doc')])
})
