import { describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { VersionHistory } from '../src'

const WITHIN_MS = 1_000

function engine(id: string, softwareVersion: string | undefined, fields: Partial<RegisteredEndpoint> = {}) {
  const base = { service: 's', address: `10.0.0.1:${id}`, zone: 'z', slots: 1, models: [], sequence: 1 }
  const state = 'ready' as const
  return { id, ...base, state, stage: 'decode' as const, softwareVersion, ...fields }
}

function historyAt(startedAt: number) {
  const time = { now: startedAt }
  return { time, history: new VersionHistory({ now: () => time.now }) }
}

describe('VersionHistory', () => {
  it('knows a sole version only once it has known the service for long enough', () => {
    const { time, history } = historyAt(0)
    history.update([engine('1', 'v1'), engine('2', 'v1')])
    time.now = WITHIN_MS - 1
    expect(history.soleVersion('s', WITHIN_MS)).toBeUndefined()
    time.now = WITHIN_MS
    expect(history.soleVersion('s', WITHIN_MS)).toBe('v1')
    expect(history.soleVersion('other', WITHIN_MS)).toBeUndefined()
  })

  it('counts a version until the last of its engines has been gone for long enough', () => {
    const { time, history } = historyAt(0)
    history.update([engine('1', 'v1'), engine('2', 'v2')])
    time.now = 5_000
    history.update([engine('2', 'v2', { state: 'draining' })])
    expect(history.soleVersion('s', WITHIN_MS)).toBeUndefined()
    history.update([engine('2', 'v2', { state: 'left' })])
    time.now = 5_000 + WITHIN_MS
    expect(history.soleVersion('s', WITHIN_MS)).toBeUndefined()
    expect(history.hasSeveral('s', WITHIN_MS)).toBe(true)
    time.now += 1
    expect(history.soleVersion('s', WITHIN_MS)).toBe('v1')
    expect(history.hasSeveral('s', WITHIN_MS)).toBe(false)
  })

  it('counts an engine as ended once another version is registered at its address or under its id', () => {
    for (const next of [engine('9', 'v2', { address: '10.0.0.1:1' }), engine('1', 'v2')]) {
      const { time, history } = historyAt(0)
      history.update([engine('1', 'v1')])
      time.now = 5_000
      history.update([next])
      expect(history.soleVersion('s', WITHIN_MS)).toBeUndefined()
      time.now += WITHIN_MS + 1
      expect(history.soleVersion('s', WITHIN_MS)).toBe('v2')
    }
  })

  it('counts engines that report no version as one version', () => {
    const { time, history } = historyAt(0)
    history.update([engine('1', undefined), engine('2', undefined)])
    time.now = WITHIN_MS
    expect(history.soleVersion('s', WITHIN_MS)).toBe('')
  })

  it('counts a version that another machine has announced, without taking engines of it to run', () => {
    const { time, history } = historyAt(0)
    const version = { service: 's', softwareVersion: 'v2' }
    history.update([engine('1', 'v1')])
    time.now = 5_000
    history.add(version)
    expect([history.isRunning(version), history.hasSeveral('s', WITHIN_MS)]).toEqual([false, true])
    time.now += WITHIN_MS + 1
    expect(history.soleVersion('s', WITHIN_MS)).toBe('v1')
    history.update([engine('2', 'v2')])
    expect(history.isRunning(version)).toBe(true)
  })

  it('knows after a restart which versions may have begun streams before', () => {
    const { time, history } = historyAt(0)
    history.markFounded()
    history.update([engine('1', 'v1')])
    expect(history.soleVersion('s', WITHIN_MS)).toBe('v1')
    const later = historyAt(0)
    later.history.restore(history.save())
    later.history.update([engine('1', 'v1')])
    expect(later.history.soleVersion('s', WITHIN_MS)).toBe('v1')
    time.now = 100
    history.update([engine('2', 'v2')])
    const last = historyAt(0)
    last.history.restore(history.save())
    last.history.update([engine('1', 'v1')])
    expect(last.history.soleVersion('s', WITHIN_MS)).toBeUndefined()
    last.time.now = WITHIN_MS + 1
    expect(last.history.soleVersion('s', WITHIN_MS)).toBe('v1')
  })
})
