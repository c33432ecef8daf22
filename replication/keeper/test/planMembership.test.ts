import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Member } from '@forkstage/raft'
import { planMembership, type MembershipView } from '../src'

const RULES = { requiredVoters: 5, silentMs: 2_000, joinRequestTtlMs: 1_000 }
const NOW = 100_000

function member(replica: string, address = `10.0.0.${replica}`): Member {
  return { replica, address, box: `box-${replica}` }
}

function view(fields: Partial<MembershipView> & { voters?: Member[]; learners?: Member[] }): MembershipView {
  const { voters = ['1', '2', '3', '4', '5'].map((name) => member(name)), learners = [], ...rest } = fields
  const ackedSentAt = [...voters, ...learners].map(({ replica }) => [replica, NOW - 50] as const)
  return {
    config: { voters, learners },
    self: '1',
    lastIndex: 100,
    joinRequests: [],
    matches: {},
    ackedSentAt: Object.fromEntries(ackedSentAt),
    leaderSince: NOW - 60_000,
    now: NOW,
    ...rest,
  }
}

const joinRequest = (joining: Member, at = NOW - 100) => ({ member: joining, at })

describe('planMembership', () => {
  it('changes nothing in a complete group', () => {
    expect(planMembership(view({}), RULES)).toBeUndefined()
  })

  it('adds a replica that asks to join as a learner, and promotes it once it has caught up', () => {
    const six = member('6')
    const added = planMembership(view({ joinRequests: [joinRequest(six)] }), RULES)
    expect(added).toEqual({ type: 'addLearner', member: six })
    const behind = view({ learners: [six], joinRequests: [joinRequest(six)], matches: { 6: 20 } })
    expect(planMembership(behind, RULES)).toBeUndefined()
    const caughtUp = view({ learners: [six], joinRequests: [joinRequest(six)], matches: { 6: 99 } })
    expect(planMembership(caughtUp, RULES)).toEqual({ type: 'promote', replica: '6' })
  })

  it('does not add a replica whose join request has expired', () => {
    expect(
      planMembership(view({ joinRequests: [joinRequest(member('6'), NOW - 1_500)] }), RULES),
    ).toBeUndefined()
  })

  it('replaces a lost disk: the new replica votes before the old identity at its address is removed', () => {
    const fresh = member('9', '10.0.0.2')
    const lost = { 1: NOW, 2: NOW - 500, 3: NOW, 4: NOW, 5: NOW, 9: NOW - 20 }
    const joinRequests = [joinRequest(fresh)]
    expect(planMembership(view({ joinRequests, ackedSentAt: lost }), RULES)?.type).toBe('addLearner')
    const learning = view({ learners: [fresh], joinRequests, ackedSentAt: lost, matches: { 9: 100 } })
    expect(planMembership(learning, RULES)).toEqual({ type: 'promote', replica: '9' })
    const both = view({ voters: [...view({}).config.voters, fresh], ackedSentAt: lost })
    expect(planMembership(both, RULES)).toEqual({ type: 'remove', replica: '2' })
  })

  it('removes a silent voter only if enough others respond', () => {
    const silent = { 1: NOW, 2: NOW - 9_000, 3: NOW, 4: NOW, 5: NOW, 6: NOW }
    expect(planMembership(view({ ackedSentAt: silent }), RULES)).toBeUndefined()
    const six = view({ voters: [...view({}).config.voters, member('6')], ackedSentAt: silent })
    expect(planMembership(six, RULES)).toEqual({ type: 'remove', replica: '2' })
  })

  it('gives the other voters time to respond to a new leader', () => {
    const voters = [...view({}).config.voters, member('6')]
    const justElected = view({ voters, ackedSentAt: {}, leaderSince: NOW - 500 })
    expect(planMembership(justElected, RULES)).toBeUndefined()
  })

  it('changes one replica at a time and never removes the leader or a responsive voter without a replacement', () => {
    const ages = fc.array(fc.integer({ min: 0, max: 6_000 }), { minLength: 7, maxLength: 7 })
    fc.assert(
      fc.property(ages, fc.integer({ min: 1, max: 7 }), (silentFor, voterCount) => {
        const voters = Array.from({ length: voterCount }, (_, index) => member(String(index + 1)))
        const ackedSentAt = Object.fromEntries(
          voters.map(({ replica }, index) => [replica, NOW - silentFor[index]!]),
        )
        const change = planMembership(view({ voters, ackedSentAt }), RULES)
        if (change === undefined) return
        expect(change.type).toBe('remove')
        if (change.type !== 'remove') return
        expect(change.replica).not.toBe('1')
        expect(NOW - ackedSentAt[change.replica]!).toBeGreaterThan(RULES.silentMs)
        const live = voters.filter(
          ({ replica }) => replica === '1' || NOW - ackedSentAt[replica]! <= RULES.silentMs,
        )
        expect(live.length).toBeGreaterThanOrEqual(RULES.requiredVoters)
      }),
    )
  })
})
