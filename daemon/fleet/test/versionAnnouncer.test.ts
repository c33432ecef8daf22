import { describe, expect, it } from 'vitest'
import { PLACE } from '@forkstage/allocator'
import { ManualClock } from '@forkstage/clock'
import { recordRejections } from '../../../core/clock/test/recordRejections'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { VersionHistory } from '@forkstage/origins'
import { endpointWithDefaults } from '../../../request/gateway/test/rowsWithDefaults'
import { VersionAnnouncer } from '../src/versionAnnouncer'

/* Guards against streams that begin at a version of which the leader has not heard. */

const SELF = '10.0.0.1:1'
const LEADER = '10.0.0.2:1'

function engine(id: string, softwareVersion: string, fields: Partial<RegisteredEndpoint> = {}) {
  return endpointWithDefaults({ id, address: `${id}:1`, stage: 'decode', softwareVersion, ...fields }, 0)
}

/** An announcer at a machine where v1 runs. */
function announcer(leader: string | undefined = LEADER) {
  const clock = new ManualClock()
  const history = new VersionHistory(clock)
  history.update([engine('i-1', 'v1')])
  const state: { leader?: string; answers: boolean; failure?: Error } = { leader, answers: true }
  const calls: unknown[] = []
  const confirmed: string[] = []
  const one = new VersionAnnouncer({
    self: SELF,
    leader: () => {
      if (state.failure !== undefined) throw state.failure
      return state.leader
    },
    origins: {
      isRunning: (version) => history.isRunning(version),
      recordVersions: (versions) => versions.forEach((version) => history.add(version)),
    },
    peers: {
      call: <Result>(address: string, method: string, params: unknown) => {
        calls.push({ address, method, params })
        return state.answers ? Promise.resolve(true as Result) : Promise.reject(new Error('no answer'))
      },
    },
    onConfirmed: (endpoints) => {
      history.update(endpoints)
      confirmed.push(...endpoints.map(({ id }) => id))
    },
    clock,
  })
  const advance = async (ms: number) => {
    clock.advance(ms)
    await new Promise((resolve) => setImmediate(resolve))
  }
  return { one, state, calls, confirmed, advance }
}

describe('VersionAnnouncer', () => {
  it('holds engines of a new version until the leader has confirmed it', async () => {
    const { one, state, calls, confirmed, advance } = announcer()
    state.answers = false
    expect([one.hold(engine('i-2', 'v2')), one.hold(engine('i-3', 'v2'))]).toEqual([true, true])
    await advance(0)
    expect(confirmed).toEqual([])
    state.answers = true
    await advance(50)
    expect(confirmed).toEqual(['i-2', 'i-3'])
    const version = { service: 'plain', softwareVersion: 'v2' }
    expect(calls.at(-1)).toMatchObject({ address: LEADER, method: PLACE.origins, params: { origins: [] } })
    expect(calls.at(-1)).toMatchObject({ params: { versions: expect.arrayContaining([version]) } })
    expect(one.hold(engine('i-4', 'v2'))).toBe(false)
  })

  it('holds no engine of a version that runs, and no plain endpoint', () => {
    const { one, calls } = announcer()
    expect(one.hold(engine('i-2', 'v1'))).toBe(false)
    expect(one.hold(engine('i-3', 'v2', { stage: undefined }))).toBe(false)
    expect(calls).toEqual([])
  })

  it('waits while no leader is known, and asks nobody where this machine leads', async () => {
    const { one, state, calls, confirmed, advance } = announcer()
    state.leader = undefined
    one.hold(engine('i-2', 'v2'))
    await advance(200)
    expect(confirmed).toEqual([])
    state.leader = SELF
    await advance(50)
    expect(confirmed).toEqual(['i-2'])
    expect(calls).toEqual([])
  })

  it('drops an engine that leaves meanwhile', async () => {
    const { one, state, confirmed, advance } = announcer()
    state.leader = undefined
    one.hold(engine('i-2', 'v2'))
    one.forget('i-2')
    state.leader = LEADER
    await advance(50)
    expect(confirmed).toEqual([])
  })

  // Guards against engines that wait for good after one unexpected error.
  it('goes on asking after an unexpected error', async () => {
    const { one, state, confirmed, advance } = announcer()
    const failure = new Error('unexpected')
    const rejections = await recordRejections(async () => {
      state.failure = failure
      one.hold(engine('i-2', 'v2'))
      await advance(0)
    })
    expect(rejections).toEqual([failure])
    state.failure = undefined
    await advance(50)
    expect(confirmed).toEqual(['i-2'])
  })
})
