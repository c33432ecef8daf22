import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { HeartbeatAnswer, TableUpdate } from '@forkstage/control'
import type { GroupConfig } from '@forkstage/raft'
import { createLeaseState, knownNewestSince, applyAnswer } from '../src'

const member = (replica: string) => ({ replica, box: replica, address: '127.0.0.1:1' })
const config: GroupConfig = { voters: ['a', 'b', 'c'].map(member), learners: [] }
const empty = { version: 0, digest: '', table: { endpoints: [], links: [] } }

const answer = (
  replica: string,
  newestVersion: number,
  patch: Partial<HeartbeatAnswer> = {},
): HeartbeatAnswer => ({
  replica,
  holdsLease: false,
  newestVersion,
  acceptedVersion: newestVersion,
  newestConfigIndex: 0,
  config,
  ...patch,
})
const full = (version: number): TableUpdate => ({
  type: 'full',
  version,
  digest: `${version}`,
  table: { endpoints: [], links: [] },
})

describe('leaseState', () => {
  it('needs a majority without a newer table, and counts from when heartbeats were sent', () => {
    const state = createLeaseState(empty)
    applyAnswer(state, answer('a', 1, { update: full(1) }), 100)
    expect(knownNewestSince(state)).toBe(-Infinity)
    applyAnswer(state, answer('b', 1), 90)
    expect(knownNewestSince(state)).toBe(90)
    applyAnswer(state, answer('c', 2), 200)
    applyAnswer(state, answer('b', 2), 210)
    expect(knownNewestSince(state)).toBe(-Infinity)
  })

  it('trusts the leader alone while a confirm is in progress', () => {
    const state = createLeaseState(empty)
    applyAnswer(state, answer('a', 2, { holdsLease: true, acceptedVersion: 1, update: full(1) }), 100)
    expect(knownNewestSince(state)).toBe(100)
  })

  it('ignores replicas that have a newer configuration of the group', () => {
    const state = createLeaseState(empty)
    applyAnswer(state, answer('a', 1, { update: full(1) }), 100)
    applyAnswer(state, answer('b', 1, { newestConfigIndex: 7, config: undefined }), 100)
    expect(knownNewestSince(state)).toBe(-Infinity)
  })

  it('never installs a lower version from a late answer, and no step that skips a version', () => {
    const state = createLeaseState(empty)
    applyAnswer(state, answer('a', 5, { update: full(5) }), 100)
    applyAnswer(state, answer('b', 3, { update: full(3) }), 50)
    const skipping: TableUpdate = {
      type: 'steps',
      steps: [
        {
          version: 7,
          digest: '7',
          delta: { upsertEndpoints: [], removeEndpoints: [], upsertLinks: [], removeLinks: [] },
        },
      ],
    }
    applyAnswer(state, answer('c', 7, { update: skipping }), 120)
    expect(state.table.version).toBe(5)
  })

  it('is never sure of a time after a newer table was accepted, in any order of answers', () => {
    const action = fc.record({
      kind: fc.constantFrom('append', 'ask', 'deliver'),
      replica: fc.nat(2),
      pick: fc.nat(50),
      wait: fc.nat(5),
    })
    fc.assert(
      fc.property(fc.array(action, { maxLength: 120 }), (actions) => {
        const state = createLeaseState(empty)
        const logs = [0, 0, 0]
        const acceptedAt = new Map<number, number>()
        const inFlight: { answer: HeartbeatAnswer; sentAt: number }[] = []
        let now = 0
        for (const { kind, replica, pick, wait } of actions) {
          now += wait
          // Log entries reach replicas one at a time, in order. A version is accepted once two of three have
          // it.
          if (kind === 'append')
            logs[replica] = Math.max(logs[replica]!, Math.min(logs[replica]! + 1, Math.max(...logs) + 1))
          const accepted = [...logs].sort((left, right) => right - left)[1]!
          for (let version = 1; version <= accepted; version += 1)
            if (!acceptedAt.has(version)) acceptedAt.set(version, now)
          // The answer shows the replica's current log; the heartbeat was sent a little earlier.
          if (kind === 'ask')
            inFlight.push({
              sentAt: now - (pick % 4),
              answer: answer('abc'[replica]!, logs[replica]!, {
                update: accepted > 0 ? full(accepted) : undefined,
              }),
            })
          const delivered =
            kind === 'deliver' ? inFlight.splice(pick % Math.max(1, inFlight.length), 1)[0] : undefined
          if (delivered !== undefined) applyAnswer(state, delivered.answer, delivered.sentAt)
          const since = knownNewestSince(state)
          for (const [version, at] of acceptedAt)
            if (version > state.table.version) expect(at).toBeGreaterThan(since)
        }
      }),
      { seed: 13, numRuns: 2_000 },
    )
  })
})
