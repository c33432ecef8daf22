import { describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { NO_VERSION_REASON, VERSION_UNAVAILABLE_REASON } from '../src'
import { ask, createAllocator, engine } from './fixtures'

/* Guards against streams that continue at engines of another software version. */

const ofVersion = (
  id: string,
  softwareVersion: string | undefined,
  fields: Partial<RegisteredEndpoint> = {},
) => engine(id, 'decode', { softwareVersion, ...fields })
const RUNNING = { promptTokens: 500, pauseMs: 300, hintTokens: 1_000, mostTokens: 2_000, leftMs: 20_000 }

describe('a request that is bound to a software version', () => {
  it('is placed at engines of that version only, however full they are', () => {
    const one = createAllocator([ofVersion('d1', 'v1'), ofVersion('d2', 'v2'), ofVersion('d3', undefined)])
    one.place(ask('new', { except: ['d2', 'd3'] }))
    one.place(ask('bound', { boundVersion: 'v1' }))
    one.place(ask('unversioned', { boundVersion: '' }))
    expect([one.decodeOf('bound'), one.decodeOf('unversioned')]).toEqual(['d1', 'd3'])
  })

  it('waits for room at its version while others have room, and goes before new requests', () => {
    const one = createAllocator([ofVersion('d1', 'v1'), ofVersion('d2', 'v2')])
    const large = { promptTokens: 7_000, holdMs: 5_000, promptMs: 0 }
    one.place(ask('first', { ...large, boundVersion: 'v1' }))
    one.place(ask('other', { ...large, except: ['d1'] }))
    one.place(ask('new', { ...large, isReturn: true, targetMs: 5_000 }), 1)
    one.place(ask('resumed', { ...large, boundVersion: 'v1', isConfined: true, targetMs: -100 }), 2)
    expect(one.decisions.has('resumed')).toBe(false)
    one.allocator.release('first', 'ok', 100, 100)
    expect(one.decodeOf('resumed')).toBe('d1')
    expect(one.decisions.has('new')).toBe(false)
  })

  it('queues like any other where all engines have its version', () => {
    const one = createAllocator([ofVersion('d1', 'v1')])
    const large = { promptTokens: 7_000, holdMs: 5_000, promptMs: 0, targetMs: 5_000 }
    one.place(ask('first', large))
    one.place(ask('new', large), 1)
    one.place(ask('resumed', { ...large, boundVersion: 'v1', targetMs: -100 }), 2)
    one.allocator.release('first', 'ok', 100, 100)
    expect(one.decodeOf('new')).toBe('d1')
    expect(one.decisions.has('resumed')).toBe(false)
  })

  it('is refused at once where no engine of its version is registered', () => {
    const one = createAllocator([ofVersion('d1', 'v1', { state: 'draining' }), ofVersion('d2', 'v2')])
    one.place(ask('bound', { boundVersion: 'v1' }))
    expect(one.decisions.get('bound')).toMatchObject({ type: 'refused', reason: NO_VERSION_REASON })
  })

  // Guards against callers that wait for seconds where nobody is left who could serve them.
  it.each([{ except: ['d1'] }, { avoid: ['d1'] }, { except: ['d1'], avoid: ['d3'] }])(
    'is refused at once where the engines of its version cannot get it and others serve (%o)',
    (fields) => {
      const endpoints = [ofVersion('d1', 'v1'), ofVersion('d2', 'v2')]
      if (fields.avoid?.includes('d3')) endpoints.push(ofVersion('d3', 'v1'))
      const one = createAllocator(endpoints)
      one.place(ask('bound', { boundVersion: 'v1', isConfined: true, promptMs: 0, holdMs: 3_000, ...fields }))
      expect(one.decisions.get('bound')).toMatchObject({
        reason: VERSION_UNAVAILABLE_REASON,
        retryAfterMs: 700,
      })
    },
  )

  it.each([
    { leaves: 'the last engine of its version', except: [], reason: NO_VERSION_REASON, retryAfterMs: 5_000 },
    {
      leaves: 'the last that may get it',
      except: ['d3'],
      reason: VERSION_UNAVAILABLE_REASON,
      retryAfterMs: 700,
    },
  ])('is refused while it waits as soon as $leaves leaves', ({ except, reason, retryAfterMs }) => {
    const endpoints = [ofVersion('d1', 'v1'), ofVersion('d2', 'v2')]
    if (except.length > 0) endpoints.push(ofVersion('d3', 'v1'))
    const one = createAllocator(endpoints)
    const large = { promptTokens: 7_000, holdMs: 3_000, promptMs: 0, boundVersion: 'v1', isConfined: true }
    one.place(ask('first', { ...large, except: ['d3'] }))
    one.place(ask('resumed', { ...large, except }), 1)
    one.allocator.tick(25)
    expect(one.decisions.has('resumed')).toBe(false)
    endpoints[0] = ofVersion('d1', 'v1', { state: 'draining' })
    one.allocator.tick(50)
    expect(one.decisions.get('resumed')).toMatchObject({ reason, retryAfterMs })
  })

  it('is refused for a shorter time where the engines of its version are only barred', () => {
    const isBarred = ({ id }: RegisteredEndpoint) => id === 'd1'
    const one = createAllocator([ofVersion('d1', 'v1'), ofVersion('d2', 'v2')], { isBarred })
    one.place(ask('bound', { boundVersion: 'v1' }))
    expect(one.decisions.get('bound')).toMatchObject({ reason: VERSION_UNAVAILABLE_REASON })
  })
})

describe('a running answer', () => {
  it('migrates only to an engine of the version that it runs at', () => {
    const endpoints = [ofVersion('d0', 'v1'), ofVersion('d1', 'v2'), ofVersion('d2', 'v2')]
    const one = createAllocator(endpoints)
    const report = (now: number) => {
      const holds = endpoints.map(({ id }) => ({
        ask: ask(`at-${id}`, { ...RUNNING, entry: 'runner' }),
        decode: id,
        ageMs: now + 900,
        decodingForMs: now + 800,
        madeTokens: (now + 800) / 4,
      }))
      one.allocator.applyReport('runner', holds, now)
    }
    report(0)
    report(400)
    endpoints[0] = ofVersion('d0', 'v1', { state: 'draining' })
    one.allocator.tick(420)
    expect(one.allocator.planMigrations('runner', 430)).toEqual([])
    endpoints[2] = ofVersion('d2', 'v1')
    one.allocator.tick(440)
    expect(one.allocator.planMigrations('runner', 450)).toEqual([{ request: 'at-d0', to: 'd2' }])
  })
})
