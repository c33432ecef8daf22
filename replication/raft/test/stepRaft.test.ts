import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { Cluster, ELECTION_TIMEOUT } from './cluster'

const RUNS = Number(process.env.RUNS ?? 60)
const SEED = Number(process.env.SEED ?? 20261202)

const action = fc.oneof(
  { weight: 12, arbitrary: fc.constant('deliver' as const) },
  { weight: 4, arbitrary: fc.constant('tick' as const) },
  { weight: 4, arbitrary: fc.constant('sync' as const) },
  { weight: 2, arbitrary: fc.constant('propose' as const) },
  {
    weight: 1,
    arbitrary: fc.constantFrom(
      'crash' as const,
      'start' as const,
      'cut' as const,
      'heal' as const,
      'compact' as const,
      'transfer' as const,
    ),
  },
)

function applyAction(cluster: Cluster, kind: string, name: string, value: number): void {
  const node = cluster.nodes.get(name)!
  if (kind === 'deliver') for (let n = 0; n < 6; n += 1) cluster.deliverOne(0.05)
  if (kind === 'tick') {
    cluster.now += 7
    for (const each of cluster.nodes.keys()) cluster.step(each, { type: 'tick' })
  }
  if (kind === 'sync') cluster.sync(name)
  if (kind === 'propose') cluster.step(cluster.leader() ?? name, { type: 'propose', commands: [value] })
  if (kind === 'crash') cluster.crash(name)
  if (kind === 'start' && node.state === undefined) cluster.start(name)
  if (kind === 'cut') cluster.cut.add(name)
  if (kind === 'heal') cluster.cut.delete(name)
  if (kind === 'compact') cluster.compact(name)
  if (kind === 'transfer') cluster.step(name, { type: 'transfer' })
}

function heal(cluster: Cluster): void {
  cluster.cut.clear()
  for (const [name, node] of cluster.nodes) if (node.state === undefined) cluster.start(name)
  cluster.settle(20 * ELECTION_TIMEOUT)
}

describe('stepRaft', () => {
  it('keeps its invariants under message loss, duplication, reordering, crashes and network cuts', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 2 ** 30 }),
        fc.array(fc.tuple(action, fc.nat(4)), { minLength: 200, maxLength: 600 }),
        (seed, actions) => {
          const cluster = new Cluster(5, seed)
          actions.forEach(([kind, index], value) => applyAction(cluster, kind, `r${index}`, value))
          heal(cluster)
          cluster.step(cluster.leader()!, { type: 'propose', commands: ['last'] })
          cluster.settle(4 * ELECTION_TIMEOUT)
          const applied = [...cluster.nodes.values()].map((node) => JSON.stringify(node.applied))
          expect(new Set(applied).size).toBe(1)
          expect(applied[0]).toContain('"last"')
        },
      ),
      { numRuns: RUNS, seed: SEED, endOnFailure: true },
    )
  })

  it('does not raise the term while a replica is cut off, and keeps the leader afterwards', () => {
    const cluster = new Cluster(3, 1)
    cluster.settle(5 * ELECTION_TIMEOUT)
    const leader = cluster.leader()!
    const other = [...cluster.nodes.keys()].find((name) => name !== leader)!
    cluster.cut.add(other)
    cluster.settle(50 * ELECTION_TIMEOUT)
    cluster.cut.clear()
    cluster.settle(5 * ELECTION_TIMEOUT)
    expect(cluster.leader()).toBe(leader)
    expect(cluster.nodes.get(other)!.state!.term).toBe(cluster.nodes.get(leader)!.state!.term)
  })

  it('makes a leader that is cut off step down, and replaces its uncommitted entries', () => {
    const cluster = new Cluster(3, 2)
    cluster.settle(5 * ELECTION_TIMEOUT)
    const old = cluster.leader()!
    cluster.cut.add(old)
    cluster.step(old, { type: 'propose', commands: ['lost'] })
    cluster.settle(5 * ELECTION_TIMEOUT)
    expect(cluster.nodes.get(old)!.state!.role).not.toBe('leader')
    cluster.step(cluster.leader()!, { type: 'propose', commands: ['kept'] })
    cluster.cut.clear()
    cluster.settle(5 * ELECTION_TIMEOUT)
    expect(cluster.nodes.get(old)!.applied).toEqual(['kept'])
  })

  it('does not count a replica whose disk lost entries that it had acknowledged', () => {
    const cluster = new Cluster(3, 3)
    cluster.settle(5 * ELECTION_TIMEOUT)
    const leader = cluster.leader()!
    const [older, cut] = [...cluster.nodes.keys()].filter((name) => name !== leader) as [string, string]
    const backup = structuredClone(cluster.nodes.get(older)!.synced)
    cluster.step(leader, { type: 'propose', commands: ['a', 'b', 'c'] })
    cluster.settle(ELECTION_TIMEOUT)
    cluster.crash(older)
    cluster.nodes.get(older)!.synced = backup
    cluster.start(older)
    cluster.cut.add(cut)
    cluster.step(leader, { type: 'propose', commands: ['d'] })
    cluster.settle(3 * ELECTION_TIMEOUT)
    expect(cluster.lostMembers).toContain(older)
    expect(cluster.staleReplicas).toContain(older)
    expect(cluster.nodes.get(leader)!.applied).not.toContain('d')
  })

  it('replaces a replica by single-member changes; a second crash right after the repair loses no entry', () => {
    const cluster = new Cluster(3, 4)
    cluster.settle(5 * ELECTION_TIMEOUT)
    const leader = cluster.leader()!
    cluster.step(leader, { type: 'propose', commands: Array.from({ length: 200 }, (_, index) => index) })
    cluster.settle(10 * ELECTION_TIMEOUT)
    const [lost, second] = [...cluster.nodes.keys()].filter((name) => name !== leader) as [string, string]
    cluster.crash(lost)
    const newcomer = cluster.member('new')
    cluster.add(newcomer, [])
    cluster.step(leader, { type: 'reconfigure', change: { type: 'addLearner', member: newcomer } })
    expect(() =>
      cluster.step(leader, { type: 'reconfigure', change: { type: 'promote', replica: 'new' } }),
    ).toThrow(/not committed|behind/)
    cluster.settle(30 * ELECTION_TIMEOUT)
    cluster.step(leader, { type: 'reconfigure', change: { type: 'promote', replica: 'new' } })
    cluster.settle(2 * ELECTION_TIMEOUT)
    cluster.step(leader, { type: 'reconfigure', change: { type: 'remove', replica: lost } })
    cluster.settle(2 * ELECTION_TIMEOUT)
    cluster.crash(second)
    cluster.step(leader, { type: 'propose', commands: ['after'] })
    cluster.settle(5 * ELECTION_TIMEOUT)
    expect(cluster.nodes.get('new')!.applied).toHaveLength(201)
    expect(cluster.leader()).toBeDefined()
  })

  it('transfers leadership at once on a planned stop', () => {
    const cluster = new Cluster(3, 5)
    cluster.settle(5 * ELECTION_TIMEOUT)
    const old = cluster.leader()!
    cluster.step(old, { type: 'transfer' })
    cluster.settle(ELECTION_TIMEOUT / 2)
    expect(cluster.leader()).not.toBe(old)
  })

  it('transfers leadership although commands are under way to every voter', () => {
    const cluster = new Cluster(3, 5)
    cluster.settle(5 * ELECTION_TIMEOUT)
    const old = cluster.leader()!
    cluster.step(old, { type: 'propose', commands: ['before'] })
    cluster.step(old, { type: 'transfer' })
    expect(cluster.step(old, { type: 'propose', commands: ['after'] })).toEqual([])
    cluster.settle(ELECTION_TIMEOUT / 2)
    expect(cluster.leader()).not.toBe(old)
    expect(cluster.nodes.get(old)!.applied).toContain('before')
  })

  it('goes on as leader where no other voter can take over in time', () => {
    const cluster = new Cluster(3, 5)
    cluster.settle(5 * ELECTION_TIMEOUT)
    const old = cluster.leader()!
    cluster.step(old, { type: 'propose', commands: ['before'] })
    const others = [...cluster.nodes.keys()].filter((name) => name !== old)
    others.forEach((name) => cluster.crash(name))
    cluster.step(old, { type: 'transfer' })
    others.forEach((name) => cluster.start(name))
    cluster.settle(5 * ELECTION_TIMEOUT)
    const leader = cluster.leader()!
    expect(cluster.step(leader, { type: 'propose', commands: ['after'] })).toHaveLength(1)
  })
})
