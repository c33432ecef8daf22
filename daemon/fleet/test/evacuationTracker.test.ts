import { describe, expect, it } from 'vitest'
import { createSilentLogger } from '@forkstage/logger'
import { EvacuationTracker } from '../src/evacuationTracker'

describe('EvacuationTracker', () => {
  function start() {
    const withdrawn: string[] = []
    const onWithdrawn = (domain: string) => void withdrawn.push(domain)
    const tracker = new EvacuationTracker({ logger: createSilentLogger(), onWithdrawn })
    return { tracker, withdrawn }
  }

  it('reports each withdrawn domain once', () => {
    const { tracker, withdrawn } = start()
    tracker.merge({ index: 4, domains: ['a', 'b'] })
    expect(withdrawn).toEqual([])
    tracker.merge({ index: 6, domains: ['b'] })
    tracker.merge({ index: 6, domains: ['b'] })
    expect(withdrawn).toEqual(['a'])
  })

  it('ignores an older set that arrives late', () => {
    const { tracker, withdrawn } = start()
    tracker.merge({ index: 6, domains: ['a'] })
    tracker.merge({ index: 5, domains: [] })
    expect(withdrawn).toEqual([])
    expect(tracker.view.isEvacuated('a')).toBe(true)
  })

  it('reports a domain that was only supposed to be evacuated', () => {
    const { tracker, withdrawn } = start()
    tracker.addSupposed(['a'])
    tracker.merge({ index: 3, domains: [] })
    expect(withdrawn).toEqual(['a'])
  })
})
