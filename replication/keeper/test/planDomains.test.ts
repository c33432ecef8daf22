import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Member } from '@forkstage/raft'
import { domainTolerance, missingAfterLoss, planMembership, type MembershipView } from '../src'

const RULES = { requiredVoters: 5, domainLosses: 1, silentMs: 2_000, joinRequestTtlMs: 1_000 }
const NOW = 100_000

function member(replica: string, domain?: string): Member {
  return { replica, address: `10.0.0.${replica}`, box: `box-${replica}`, domain }
}

/** Members by name, each with its failure domain: `{ 1: 'north' }`. */
function members(domains: Record<string, string | undefined>): Member[] {
  return Object.entries(domains).map(([name, domain]) => member(name, domain))
}

function view(
  voters: Member[],
  fields: Partial<MembershipView> = {},
  learners: Member[] = [],
): MembershipView {
  const ackedSentAt = [...voters, ...learners].map(({ replica }) => [replica, NOW - 50] as const)
  return {
    config: { voters, learners },
    self: voters[0]!.replica,
    lastIndex: 100,
    joinRequests: learners.map((learner) => ({ member: learner, at: NOW - 100 })),
    matches: Object.fromEntries(learners.map(({ replica }) => [replica, 100])),
    ackedSentAt: Object.fromEntries(ackedSentAt),
    leaderSince: NOW - 60_000,
    now: NOW,
    ...fields,
  }
}

const SPREAD = members({ 1: 'north', 2: 'north', 3: 'south', 4: 'south', 5: 'west' })

describe('planMembership with failure domains', () => {
  it('does not promote a learner if the loss of its domain would then cost the majority', () => {
    expect(planMembership(view(SPREAD, {}, [member('6', 'north')]), RULES)).toBeUndefined()
    expect(planMembership(view(SPREAD, {}, [member('6', 'west')]), RULES)).toEqual({
      type: 'promote',
      replica: '6',
    })
  })

  it('promotes such a learner if voters are missing, or if it replaces a voter whose disk is lost', () => {
    const silent = { 1: NOW, 2: NOW, 3: NOW, 4: NOW - 9_000, 5: NOW, 6: NOW }
    const learner = member('6', 'north')
    const promoted = { type: 'promote', replica: '6' }
    expect(planMembership(view(SPREAD, { ackedSentAt: silent }, [learner]), RULES)).toEqual(promoted)
    const fresh = { ...learner, address: '10.0.0.2' }
    expect(planMembership(view(SPREAD, {}, [fresh]), RULES)).toEqual(promoted)
  })

  it('prefers the replica whose domain has the fewest voters', () => {
    const three = members({ 1: 'north', 3: 'south', 5: 'west' }).slice(0, 2)
    const learners = members({ 6: 'north', 7: 'south', 8: 'west' })
    expect(planMembership(view(three, {}, learners), RULES)).toEqual({ type: 'promote', replica: '8' })
    const joinRequests = learners.map((one) => ({ member: one, at: NOW }))
    expect(planMembership(view(three, { joinRequests }), RULES)).toEqual({
      type: 'addLearner',
      member: learners[2],
    })
  })

  it('removes a voter of an overrepresented domain once a machine in another domain votes', () => {
    const crowded = members({ 1: 'north', 2: 'north', 3: 'north', 4: 'south', 5: 'south' })
    const west = member('6', 'west')
    expect(planMembership(view(crowded, {}, [west]), RULES)).toEqual({ type: 'promote', replica: '6' })
    const change = planMembership(view([...crowded, west]), RULES)
    expect(change).toEqual({ type: 'remove', replica: '2' })
    const swapped = [...crowded, west].filter(({ replica }) => replica !== '2')
    expect(planMembership(view(swapped, {}, [member('2', 'north')]), RULES)).toBeUndefined()
    expect(domainTolerance(view(swapped), RULES)?.missing).toBe(0)
  })

  it('removes no healthy voter while another may have been lost', () => {
    const six = [...SPREAD, member('6', 'north')]
    const ackedSentAt = { 1: NOW, 2: NOW - 1_500, 3: NOW, 4: NOW, 5: NOW, 6: NOW }
    expect(planMembership(view(six, { ackedSentAt }), RULES)).toBeUndefined()
    const replaced = [...SPREAD, { ...member('6', 'north'), address: '10.0.0.2' }]
    const justLost = { ...ackedSentAt, 2: NOW - 600 }
    expect(planMembership(view(replaced, { ackedSentAt: justLost }), RULES)).toEqual({
      type: 'remove',
      replica: '2',
    })
  })

  it('assumes that a voter of unknown domain may be in any domain, until it has reported its domain', () => {
    const old = members({ 1: 'north', 2: 'north', 3: 'south', 4: undefined, 5: undefined })
    expect(domainTolerance(view(old), RULES)?.missing).toBeGreaterThan(0)
    const announced = members({ 4: 'south', 5: 'west' }).map((one) => ({ member: one, at: NOW - 90_000 }))
    expect(domainTolerance(view(old, { joinRequests: announced }), RULES)?.missing).toBe(0)
    expect(planMembership(view(old, { joinRequests: announced }), RULES)).toBeUndefined()
  })

  it('reports no tolerance and ignores domains in its plan if no loss of domains is to be tolerated', () => {
    const none = { ...RULES, domainLosses: 0 }
    expect(domainTolerance(view(SPREAD), none)).toBeUndefined()
    expect(planMembership(view(SPREAD, {}, [member('6', 'north')]), none)?.type).toBe('promote')
  })

  it('ends with a group that tolerates the loss if the machines allow it, never with fewer voters than required', () => {
    const domains = fc.array(fc.constantFrom('north', 'south', 'west'), { minLength: 5, maxLength: 8 })
    fc.assert(
      fc.property(domains, fc.integer({ min: 1, max: 3 }), (all, founders) => {
        const machines = all.map((domain, index) => member(String(index + 1), domain))
        let voters = machines.slice(0, founders)
        for (let step = 0; step < 60; step += 1) {
          const others = machines.filter((one) => !voters.includes(one))
          const change = planMembership(view(voters, {}, others), RULES)
          if (change === undefined) break
          if (change.type === 'promote')
            voters = [...voters, others.find((one) => one.replica === change.replica)!]
          if (change.type !== 'remove') continue
          expect(voters.length).toBeGreaterThan(RULES.requiredVoters)
          expect(change.replica).not.toBe(voters[0]!.replica)
          voters = voters.filter((one) => one.replica !== change.replica)
        }
        expect(voters.length).toBeGreaterThanOrEqual(RULES.requiredVoters)
        const spread = { domainLosses: 1, isLive: () => true, domainOf: (one: Member) => one.domain }
        const counts = ['north', 'south', 'west'].map((name) => all.filter((one) => one === name).length)
        const survivesDomainLoss =
          counts.filter((count) => count >= 2).length >= 2 && counts.every((count) => count >= 1)
        if (survivesDomainLoss) expect(missingAfterLoss(voters, spread)).toBeLessThanOrEqual(0)
      }),
      { seed: 20261202, numRuns: 3000 },
    )
  })
})
