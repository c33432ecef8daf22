import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { createSilentLogger } from '@forkstage/logger'
import { PeerUnreachableError, type PeerCaller } from '@forkstage/peer-rpc'
import { LeaderClient } from '../src'

const LEADER = '10.0.0.1:1'

/** Creates a client; addresses in `cut` cannot be reached. */
function createClient(
  cut: Set<string>,
  leader: () => string | undefined = () => LEADER,
  warn: (event: string, fields: unknown) => void = () => undefined,
) {
  const calls: string[] = []
  const clock = new ManualClock()
  const peers: PeerCaller = {
    call: async (address, method) => {
      calls.push(`${address} ${method}`)
      if (cut.has(address)) throw new PeerUnreachableError(address, 'connect', 'cut')
      return 'answer' as never
    },
    notify: (address, method) => void calls.push(`${address} ${method}`),
  }
  const client = new LeaderClient({
    leader,
    neighbours: () => ['n1', 'n2'],
    peers,
    clock,
    logger: { ...createSilentLogger(), warn },
    forwardableMethods: ['place.ask'],
  })
  return { client, calls, clock }
}

describe('LeaderClient', () => {
  it('calls the leader directly', async () => {
    const { client, calls } = createClient(new Set())
    expect(await client.call('place.ask', {}, 100)).toBe('answer')
    expect(calls).toEqual([`${LEADER} place.ask`])
  })

  it('calls through a neighbour where no leader is known, and keeps to the one that answered', async () => {
    const { client, calls } = createClient(new Set(['n1']), () => undefined)
    await client.call('place.ask', {}, 100)
    await client.call('place.ask', {}, 100)
    client.notify('place.release', {})
    expect(calls).toEqual(['n1 entry.forward', 'n2 entry.forward', 'n2 entry.forward', 'n2 entry.forward'])
  })

  it('does not call a second neighbour once one may have called the leader', async () => {
    const { client, calls } = createClient(new Set(), () => undefined)
    const late: PeerCaller['call'] = async (address) => {
      calls.push(address)
      throw new PeerUnreachableError(address, 'place.ask', 'no answer in time')
    }
    Object.assign((client as unknown as { options: { peers: PeerCaller } }).options.peers, { call: late })
    await expect(client.call('place.ask', {}, 100)).rejects.toThrow('no answer in time')
    expect(calls).toEqual(['n1'])
  })

  it('does not call a leader directly for a while after it has not answered', async () => {
    const { client, calls, clock } = createClient(new Set([LEADER]))
    await expect(client.call('place.ask', {}, 100)).rejects.toThrow()
    await client.call('place.ask', {}, 100)
    clock.advance(400)
    await expect(client.call('place.ask', {}, 100)).rejects.toThrow()
    expect(calls).toEqual([`${LEADER} place.ask`, 'n1 entry.forward', `${LEADER} place.ask`])
  })

  // Guards against requests that end without an answer because a control machine that no longer leads answers `null`.
  it.each([
    ['the leader', () => LEADER],
    ['a neighbour', () => undefined],
  ])('returns undefined for an empty answer of %s', async (_what, leader) => {
    const { client } = createClient(new Set(), leader)
    // A method that returns nothing is answered with null, as JSON has no undefined.
    const empty: PeerCaller['call'] = async () => null as never
    Object.assign((client as unknown as { options: { peers: PeerCaller } }).options.peers, { call: empty })
    expect(await client.tryCall('trial.request', {}, 100)).toBeUndefined()
  })

  it('forwards only the configured methods, and only to the leader', async () => {
    const { client, calls } = createClient(new Set())
    const forward = client.methods()['entry.forward'] as unknown as (call: object) => Promise<unknown>
    expect(await forward({ method: 'place.ask', params: {}, deadline: 50 })).toBe('answer')
    expect(calls).toEqual([`${LEADER} place.ask`])
    expect(() => forward({ method: 'sheet.propose', params: {}, deadline: 50 })).toThrow()
    const cutOff = createClient(new Set(), () => undefined).client.methods()[
      'entry.forward'
    ] as unknown as typeof forward
    expect(() => cutOff({ method: 'place.ask', params: {}, deadline: 50 })).toThrow()
  })

  it("returns the leader's answer through a neighbour where the caller waits for it", async () => {
    const { client, calls } = createClient(new Set(), () => undefined)
    expect(await client.tryCall('quota.report', {}, 100)).toBe('answer')
    expect(calls).toEqual(['n1 entry.forward'])
  })

  it('continues to call a leader directly after an optional call went unanswered, and logs only the first such call', async () => {
    const lines: unknown[] = []
    const cut = new Set([LEADER])
    const { client, calls } = createClient(
      cut,
      () => LEADER,
      (event, fields) => lines.push([event, fields]),
    )
    expect(await client.tryCall('quota.report', {}, 100)).toBeUndefined()
    expect(await client.tryCallOrNotify('place.report', {}, 100)).toBeUndefined()
    expect(lines).toEqual([
      ['leader.unanswered', { peer: LEADER, step: 'quota.report', reason: expect.any(String) }],
    ])
    cut.clear()
    expect(await client.call('place.ask', {}, 100)).toBe('answer')
    expect(calls.at(-1)).toBe(`${LEADER} place.ask`)
    expect(await client.tryCall('quota.report', {}, 100)).toBe('answer')
    cut.add(LEADER)
    await client.tryCall('quota.report', {}, 100)
    expect(lines).toHaveLength(2)
  })
})
