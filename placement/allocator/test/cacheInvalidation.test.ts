import { describe, expect, it } from 'vitest'
import { ask, engine, ENGINE, createAllocator } from './fixtures'

const PARTS = [{ id: 'text', tokens: 3_000 }]

describe('Allocator, when cached prompts are lost', () => {
  it('forgets the cached prompts of an engine that has turned cold', () => {
    const isKept = [false, true].map((becomesCold) => {
      const one = createAllocator([engine('p0', 'prefill'), engine('d0', 'decode')])
      one.place(ask('first', { parts: PARTS }), 0)
      one.allocator.recordPrefilled('first', 'ok', 75, 75)
      one.allocator.release('first', 'ok', 200, 600)
      if (becomesCold) for (const id of ['p0', 'd0']) one.allocator.clearPrefixCache(id)
      one.place(ask('again', { parts: PARTS }), 1_000)
      const decision = one.decisions.get('again')
      return decision?.type === 'placed' && decision.keptTokens !== undefined
    })
    expect(isKept).toEqual([true, false])
  })

  it('does not count a prompt as cached by an engine that it never reached', () => {
    const one = createAllocator([engine('p0', 'prefill'), engine('p1', 'prefill'), engine('d0', 'decode')])
    one.place(ask('first', { parts: PARTS }), 0)
    const first = one.decisions.get('first')
    const unreachable = first?.type === 'placed' ? first.prefill! : ''
    // No connection within 400 ms: the engine has received nothing.
    one.allocator.recordPrefilled('first', 'failed', 0, 400)
    one.allocator.release('first', 'cancelled', 0, 400)
    one.place(ask('second', { parts: PARTS, except: [unreachable] }), 400)
    const second = one.decisions.get('second')
    expect(second?.type === 'placed' && second.prefill).not.toBe(unreachable)
  })
})

describe('Allocator, without a prefill engine', () => {
  it('lets a decode engine prefill a long prompt of a late request', () => {
    const one = createAllocator([engine('d0', 'decode')], {
      engine: () => ({ ...ENGINE, kvTokens: 40_000 }),
    })
    const late = { targetMs: -1_000, isReturn: true, promptMs: 0, holdMs: 3_000 }
    one.place(ask('late', { ...late, promptTokens: 16_000, mostTokens: 400, hintTokens: 200 }), 0)
    expect(one.decisions.get('late')).toMatchObject({ type: 'placed', decode: 'd0' })
  })
})
