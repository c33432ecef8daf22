import { describe, expect, it } from 'vitest'
import { ask, engine, createAllocator } from './fixtures'

const POOL = [
  engine('p1', 'prefill'),
  engine('p2', 'prefill'),
  engine('d1', 'decode'),
  engine('d2', 'decode'),
]

describe('Allocator, if engines accept nothing from an entry', () => {
  it('places the requests of that entry elsewhere, and those of other entries as before', () => {
    const { place, decisions } = createAllocator(POOL)
    for (let turn = 0; turn < 6; turn += 1)
      place(ask(`told ${turn}`, { promptTokens: 100, mostTokens: 100, avoid: ['p1', 'd1'] }), turn * 300)
    for (let turn = 0; turn < 6; turn += 1)
      place(ask(`other ${turn}`, { entry: 'e2', promptTokens: 100, mostTokens: 100 }), 2_000 + turn * 300)
    const of = (entry: string) => JSON.stringify([...decisions].filter(([id]) => id.startsWith(entry)))
    expect(of('told')).toContain('"d2"')
    expect(of('told')).not.toMatch(/"[pd]1"/)
    expect(of('other')).toContain('"d1"')
  })

  it('does not return to a prefill engine that has cached the prompt', () => {
    const one = createAllocator([engine('p1', 'prefill'), engine('d1', 'decode'), engine('d2', 'decode')])
    const parts = [{ id: 'a', tokens: 3_000 }]
    one.place(ask('first', { parts }), 0)
    one.allocator.recordPrefilled('first', 'failed', 155, 155)
    one.allocator.release('first', 'cancelled', 0, 155)
    one.place(ask('first', { parts, except: ['p1'], avoid: ['p1'] }), 156)
    expect(one.decisions.get('first')).toMatchObject({ type: 'placed' })
    expect(JSON.stringify(one.decisions.get('first'))).not.toContain('p1')
  })

  it('refuses the request in time if no decode engine accepts it', () => {
    const { place, decisions, allocator } = createAllocator(POOL)
    place(ask('told', { avoid: ['d1', 'd2'] }))
    allocator.tick(150)
    allocator.tick(600)
    expect(decisions.get('told')).toMatchObject({ type: 'refused', retryAfterMs: expect.any(Number) })
  })
})
