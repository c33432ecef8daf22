import { describe, expect, it } from 'vitest'
import { firstState, nextStates, settle, type FoundingState } from './foundingModel'

/* Guards against a group that is never founded, or founded twice, when machines are killed during their first start. */

const SETTLING_ROUNDS = 8

/** Visits every state that can be reached; returns the number of states. */
function explore(first: FoundingState, check: (state: FoundingState) => void): number {
  const seen = new Set<string>([JSON.stringify(first)])
  const open = [first]
  for (let state = open.pop(); state !== undefined; state = open.pop()) {
    check(state)
    for (const next of nextStates(state)) {
      const key = JSON.stringify(next)
      if (seen.has(key)) continue
      seen.add(key)
      open.push(next)
    }
  }
  return seen.size
}

describe('the founding of a group, with machines killed at any moment of their first start', () => {
  it.each([
    ['two kills', 2, 0],
    ['two kills, one of them with its disk', 2, 1],
  ])('is done by all machines, and never twice (three machines, %s)', (_what, kills, disks) => {
    const states = explore(firstState(3, kills, disks), (state) => {
      expect(state.established.length).toBeLessThanOrEqual(1)
      const saved = settle(state, SETTLING_ROUNDS)
      const foundings = new Set(saved.filter((one) => one !== '-'))
      expect({ state, saved }).toMatchObject({ saved: saved.map(() => expect.any(String) as string) })
      expect(foundings.size).toBe(1)
    })
    expect(states).toBeGreaterThan(1_000)
  })
})
