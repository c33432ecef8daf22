import { expect, it } from 'vitest'
import { createSystemClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { RunRegistry, type ModelRequest, type RunRegistryOptions } from '../src'

it('takes a claim over from a live owner that answers that it does not run the request', async () => {
  const clock = createSystemClock()
  const nothing = () => undefined
  const claim = {
    key: 'k',
    bodyDigest: 'd',
    request: 'b~i~1',
    epoch: 1,
    owner: { box: 'b', incarnation: 'i', address: 'b:1' },
    repeatable: true,
    claimedAt: 0,
  }
  const takenOver: number[] = []
  const journal = {
    claim: async () => ({ type: 'running', claim }),
    find: async () => claim,
    takeOver: async (_key: string, epoch: number) => {
      takenOver.push(epoch)
      return {
        type: 'done',
        claim: {
          ...claim,
          outcome: { body: Buffer.from('{"tokens":["a"],"finish":"stop"}').toString('base64') },
        },
      }
    },
  }
  const parts = {
    clock,
    journal,
    logger: createSilentLogger(),
    engineStepMs: 1,
    stallMs: 1_000,
    ttftTarget: 1,
    tbtTarget: 1,
    outcomeBytes: 1,
    traces: { record: nothing },
    placer: { ask: nothing, forget: nothing, drain: nothing },
    metrics: { recordEnd: nothing, recordFrames: nothing },
    forecast: { learn: nothing },
  }
  const registry = new RunRegistry({
    parts,
    journal,
    clock,
    reconnectMs: 1,
    origin: { box: 'a', incarnation: 'i' },
    members: () => ({ version: [1, 1], boxes: [{ box: 'b', incarnation: 'i' }], leaving: [] }),
    peers: { call: async () => ({ unknown: true }) },
  } as unknown as RunRegistryOptions)
  const model = {
    key: 'k',
    bodyDigest: 'd',
    deadlineMs: 10_000,
    service: 's',
    className: 'c',
  } as ModelRequest
  const source = await registry.open(model, 0)
  const part = await Promise.race([
    source.next(0),
    new Promise((resolve) => clock.after(2_000, () => resolve('still following a run that nobody runs'))),
  ])
  source.close()
  expect(part).toMatchObject({ tokens: ['a'] })
  expect(takenOver).toEqual([1])
})
