import { createSystemClock } from '@forkstage/clock'
import { OriginTable, type OriginAnswer } from '@forkstage/origins'
import { describe, expect, it } from 'vitest'
import { OriginClient } from '../src'

const QUERY = { stream: 'a', service: 's', withinMs: 1_000 }
const ORIGIN = { service: 's', softwareVersion: 'v1' }

/** A client whose leader gives each answer once, in order; undefined where it does not answer. */
function client(answers: (OriginAnswer | undefined)[], soleVersion?: string) {
  const clock = createSystemClock()
  let asked = 0
  const leaderClient = {
    notify: () => undefined,
    tryCall: <Answer>() => {
      asked += 1
      return Promise.resolve(answers.shift() as Answer | undefined)
    },
  }
  const history = { soleVersion: () => soleVersion, update: () => undefined }
  const one = new OriginClient({ table: new OriginTable({ clock }), history, leaderClient, clock })
  return { one, clock, asked: () => asked }
}

describe('OriginClient', () => {
  it('knows a stream that this entry has begun without asking', async () => {
    const { one, asked } = client([])
    one.begin({ stream: 'a', ...ORIGIN, keepMs: 1_000 })
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'known', by: 'entry', origin: ORIGIN })
    expect(asked()).toBe(0)
  })

  it('asks again until a leader answers', async () => {
    const { one, asked } = client([undefined, undefined, { origin: ORIGIN }])
    expect(await one.resolve(QUERY, Infinity)).toEqual({ type: 'known', by: 'leader', origin: ORIGIN })
    expect(asked()).toBe(3)
  })

  it('does not wait for a leader where the service has had one version', async () => {
    const { one, asked } = client([undefined], 'v1')
    expect(await one.resolve(QUERY, Infinity)).toMatchObject({ by: 'sole version', origin: ORIGIN })
    expect(asked()).toBe(1)
  })

  it('believes the leader about a stream that began at a version unknown here', async () => {
    const origin = { service: 's', softwareVersion: 'v2' }
    const { one } = client([{ origin }], 'v1')
    expect(await one.resolve(QUERY, Infinity)).toMatchObject({ by: 'leader', origin })
  })

  it('tells what no machine remembers from what no leader could be asked', async () => {
    expect(await client([{}]).one.resolve(QUERY, Infinity)).toEqual({ type: 'unknown' })
    const { one, clock } = client([])
    expect(await one.resolve(QUERY, clock.now())).toEqual({ type: 'no-leader' })
    expect(await client([{ soleVersion: 'v1' }]).one.resolve(QUERY, Infinity)).toMatchObject({
      by: 'sole version',
      origin: ORIGIN,
    })
  })
})
