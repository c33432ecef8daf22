import { describe, expect, it } from 'vitest'
import { createSilentLogger } from '@forkstage/logger'
import { EvacuationBelief } from '../src/evacuationBelief'

describe('what a machine believes of evacuations', () => {
  function start() {
    const withdrawn: string[] = []
    const onWithdrawn = (domain: string) => void withdrawn.push(domain)
    const belief = new EvacuationBelief({ logger: createSilentLogger(), onWithdrawn })
    return { belief, withdrawn }
  }

  it('tells of each domain that is evacuated no more, once', () => {
    const { belief, withdrawn } = start()
    belief.take({ index: 4, domains: ['a', 'b'] })
    expect(withdrawn).toEqual([])
    belief.take({ index: 6, domains: ['b'] })
    belief.take({ index: 6, domains: ['b'] })
    expect(withdrawn).toEqual(['a'])
  })

  it('tells of none where an older set arrives late', () => {
    const { belief, withdrawn } = start()
    belief.take({ index: 6, domains: ['a'] })
    belief.take({ index: 5, domains: [] })
    expect(withdrawn).toEqual([])
    expect(belief.view.isEvacuated('a')).toBe(true)
  })

  it('tells of one that was only supposed to be evacuated', () => {
    const { belief, withdrawn } = start()
    belief.suppose(['a'])
    belief.take({ index: 3, domains: [] })
    expect(withdrawn).toEqual(['a'])
  })
})
