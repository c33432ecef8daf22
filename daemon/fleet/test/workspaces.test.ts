import { afterEach, describe, expect, it } from 'vitest'
import type { Workspace } from '@forkstage/routes'
import { FleetHarness, sheet, until } from './fleetHarness'

let harness: FleetHarness
afterEach(() => harness.stop())

const PORT = 17_700
const TOKENS = { unit: 'tokens' as const, perSecond: 50, burst: 1_000, plainTokens: 200 }

function text(version: number, workspaces: Workspace[]): string {
  return JSON.stringify({ ...sheet(version), workspaces })
}

function workspace(name: string, keys: string[]): Workspace {
  return { name, keys, priority: 1 }
}

async function startFleet(port: number, workspaces: Workspace[]) {
  harness = new FleetHarness(port)
  await Promise.all([1, 2, 3].map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, text(1, workspaces))) === 200)
  const { address, runs } = await harness.startWorker('w')
  await until('the worker is registered', async () => (await harness.register(1, 'i-1', { address })) === 200)
  await harness.startEntry()
  const isServed = async () => (await harness.call('/p/', { key: workspaces[0]!.keys[0] })).status === 200
  await until('a request with a key is served', isServed)
  return { runs }
}

describe('workspaces of a fleet', () => {
  it('have valid keys while the sheet that lists them is in force', async () => {
    await startFleet(PORT, [workspace('one', ['k1'])])
    expect((await harness.call('/p/', { key: 'k2' })).status).toBe(401)
    expect(await harness.put(2, text(2, [workspace('one', ['k2'])]))).toBe(200)
    await until(
      'the new key is served',
      async () => (await harness.call('/p/', { key: 'k2' })).status === 200,
    )
    expect((await harness.call('/p/', { key: 'k1' })).status).toBe(401)
  })

  it('stay unchanged if a sheet gives one key to two workspaces; that sheet is refused whole', async () => {
    const first = [workspace('one', ['k1'])]
    await startFleet(PORT + 10, first)
    const shared = [workspace('one', ['k1', 'k3']), workspace('two', ['k1'])]
    for (const number of [1, 2, 3]) expect(await harness.put(number, text(2, shared))).toBe(400)
    expect((await harness.read(3)).text).toBe(text(1, first))
    expect((await harness.call('/p/', { key: 'k3' })).status).toBe(401)
    expect((await harness.call('/p/', { key: 'k1' })).status).toBe(200)
  })

  it('are limited to their quota', async () => {
    const { runs } = await startFleet(PORT + 20, [{ ...workspace('one', ['k1']), quota: TOKENS }])
    const before = runs()
    const answers = await Promise.all(Array.from({ length: 30 }, () => harness.call('/p/', { key: 'k1' })))
    const over = answers.filter(({ status }) => status === 429)
    // 1,000 tokens are 5 plain requests; refunds and overdraft allow a few more while the answers are under way.
    expect(over.length).toBeGreaterThan(15)
    expect(runs() - before).toBe(answers.filter(({ status }) => status === 200).length)
    expect(over[0]!.text).toContain('FORKSTAGE_OVER_QUOTA')
  })
})
