import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import type { GroupHost } from '@forkstage/group'
import type { Logger } from '@forkstage/logger'
import type { PeerCaller } from '@forkstage/peer-rpc'
import type { Member } from '@forkstage/raft'
import { MembershipReconciler } from '../src'

const SEVERAL_PLANS_MS = 2_000

function member(replica: string, domain?: string): Member {
  return { replica, box: `box-${replica}`, address: `10.0.0.${replica}:7000`, domain }
}

/** A leader whose voters all respond, with the log lines and peer calls of its reconciler. */
function createLeader(voters: Member[], self: Member) {
  const clock = new ManualClock()
  const lines: { event: string; fields: Record<string, unknown> }[] = []
  const sentMethods: string[] = []
  const record = (event: string, fields: Record<string, unknown>) => void lines.push({ event, fields })
  const logger = { info: record, warn: record, debug: record, error: record } as unknown as Logger
  const config = { voters, learners: [] as Member[] }
  const replica = {
    config,
    leads: true,
    holdsLease: true,
    leaderSince: 0,
    configIndex: 1,
    committedConfigIndex: 1,
    status: () => ({ config, lastIndex: 10, matches: {} }),
    ackedSentAt: () => Object.fromEntries(config.voters.map((voter) => [voter.replica, clock.now()])),
    reconfigure: () => undefined,
  }
  const reconciler = new MembershipReconciler({
    group: 'sheet',
    host: { replica, member: self } as unknown as GroupHost<unknown, unknown>,
    addresses: () => ['10.0.0.9:7000'],
    selfAddress: self.address,
    peers: { notify: (_: string, method: string) => void sentMethods.push(method) } as unknown as PeerCaller,
    clock,
    logger,
    rules: { requiredVoters: 3, domainLosses: 1, silentMs: 2_000, joinRequestTtlMs: 1_000 },
    rejoinAfterMs: 450,
  })
  reconciler.start()
  const domainLines = () =>
    lines.filter(({ event }) => event === 'replica.domains').map(({ fields }) => fields)
  return { clock, config, domainLines, sentMethods }
}

describe('MembershipReconciler', () => {
  it('logs once that the loss of a domain is not tolerated, and once that it is tolerated again', () => {
    const crowded = [member('1', 'north'), member('2', 'north'), member('3', 'south')]
    const { clock, config, domainLines } = createLeader(crowded, crowded[0]!)
    clock.advance(SEVERAL_PLANS_MS)
    expect(domainLines()).toEqual([{ group: 'sheet', losses: 1, missing: 1, voters: { north: 2, south: 1 } }])
    config.voters = [member('1', 'north'), member('2', 'west'), member('3', 'south')]
    clock.advance(SEVERAL_PLANS_MS)
    expect(domainLines().map(({ missing }) => missing)).toEqual([1, 0])
  })

  it('keeps sending join requests while its domain is missing from the log', () => {
    const old = [member('1'), member('2'), member('3')]
    const unknownDomain = createLeader(old, member('1', 'north'))
    unknownDomain.clock.advance(SEVERAL_PLANS_MS)
    expect(unknownDomain.sentMethods).toContain('sheet.join')
    const known = createLeader([member('1', 'north'), member('2', 'south')], member('1', 'north'))
    known.clock.advance(SEVERAL_PLANS_MS)
    expect(known.sentMethods).toEqual([])
  })
})
