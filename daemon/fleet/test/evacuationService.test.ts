import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import type { SetEvacuation } from '@forkstage/evacuation'
import { GroupUnavailableError, type GroupClient, type GroupHost } from '@forkstage/group'
import { createSilentLogger } from '@forkstage/logger'
import { SheetStateMachine, type SheetCommand, type SheetResult } from '@forkstage/sheet'
import { EvacuationTracker } from '../src/evacuationTracker'
import { EvacuationService } from '../src/evacuationService'

/** Sets up the service of one machine, with a group that commits at once and can lose its answers. */
function setUp() {
  const clock = new ManualClock()
  const machine = new SheetStateMachine()
  const group = {
    index: 10,
    /** Commands that reached the leader. */
    sent: [] as SetEvacuation[],
    losesAnswers: false,
    /** Called once, before the next command is applied. */
    beforeApply: undefined as (() => void) | undefined,
    apply: (command: SheetCommand) => machine.apply(command, (group.index += 1)),
    order: (domain: string, isEvacuated: boolean) =>
      group.apply({ type: 'setEvacuation', domain, isEvacuated, knownIndex: group.index }),
  }
  const client = {
    callLeader: async (_method: string, command: SetEvacuation) => {
      group.sent.push(command)
      group.beforeApply?.()
      group.beforeApply = undefined
      const result = group.apply(command)
      if (group.losesAnswers) throw new GroupUnavailableError('sheet', new Error('killed after the commit'))
      return result
    },
  } as unknown as GroupClient<SheetCommand, SheetResult>
  const replica = { holdsLease: false, knowsCommitted: false, uncommitted: [] as { data: unknown }[] }
  const host = { replica } as unknown as GroupHost<SheetCommand, SheetResult>
  const logger = createSilentLogger()
  const tracker = new EvacuationTracker({ logger })
  const service = new EvacuationService({
    group: 'sheet',
    box: 'control-1',
    host,
    machine,
    client,
    tracker,
    clock,
    logger,
  })
  return { group, machine, replica, tracker, service }
}

const order = (isEvacuated: boolean, isWaitedFor = () => true) => ({ domain: 'a', isEvacuated, isWaitedFor })

describe('EvacuationService', () => {
  it('keeps an evacuation from its own disk when another machine first sends an older set', () => {
    const { group, machine } = setUp()
    group.order('a', true)
    const restarted = setUp()
    // The restored state is not used while no set was received and no commit position is known.
    restarted.machine.restore(machine.snapshot())
    restarted.service.mergeCommitted()
    expect(restarted.tracker.view.isEvacuated('a')).toBe(false)
    restarted.service.mergeReceived({ index: -1, domains: [] })
    expect(restarted.tracker.view.current).toEqual({ index: 11, domains: ['a'] })
  })

  it('answers a repeated request when the leader was killed between the commit and its answer', async () => {
    const { group, machine, replica, service } = setUp()
    group.losesAnswers = true
    await expect(service.set(order(true))).rejects.toThrow(GroupUnavailableError)
    expect(machine.evacuations.current).toEqual({ index: 11, domains: ['a'] })
    group.losesAnswers = false
    expect(await service.set(order(true))).toEqual({ index: 11, outcome: 'held' })
    // Each repeated order is in the log, also where the leader could answer from its lease.
    replica.holdsLease = true
    expect(await service.set(order(true))).toEqual({ index: 11, outcome: 'held' })
    expect(group.sent).toHaveLength(3)
    expect(machine.evacuations.lastOrderIndex).toBe(13)
  })

  it('does not acknowledge a repeated evacuation before a withdrawal that is in the log', async () => {
    const { group, machine, replica, service } = setUp()
    group.order('a', true)
    replica.holdsLease = true
    // The withdrawal is in the leader's log and is applied before anything proposed later.
    group.beforeApply = () => void group.order('a', false)
    await service.set(order(true))
    group.beforeApply?.()
    expect(machine.evacuations.current.domains).toEqual(['a'])
  })

  it('proposes again after another request was committed first, while the caller waits', async () => {
    const { group, machine, service } = setUp()
    group.beforeApply = () => void group.order('b', true)
    expect(await service.set(order(true))).toEqual({ index: 13, outcome: 'changed' })
    expect(group.sent.map(({ knownIndex }) => knownIndex)).toEqual([-1, 11])
    expect(machine.evacuations.current.domains).toEqual(['a', 'b'])
  })

  it('does not repeat an evacuation that was withdrawn meanwhile, once the caller has stopped waiting', async () => {
    const { group, machine, tracker, service } = setUp()
    group.order('b', true)
    tracker.merge(machine.evacuations.current)
    let isWaitedFor = true
    group.beforeApply = () => {
      group.order('a', true)
      group.order('a', false)
      isWaitedFor = false
    }
    await expect(service.set(order(true, () => isWaitedFor))).rejects.toThrow(GroupUnavailableError)
    expect(machine.evacuations.current.domains).toEqual(['b'])
    expect(group.sent).toHaveLength(1)
  })

  it('applies the state of its disk only once the commit position is known, and supposes domains until then', () => {
    const { group, machine, replica, tracker, service } = setUp()
    machine.onEvacuations = () => service.mergeCommitted()
    group.order('a', true)
    const pending = { type: 'setEvacuation', domain: 'b', isEvacuated: true, knownIndex: 11 }
    replica.uncommitted = [{ data: undefined }, { data: { type: 'putSheet' } }, { data: pending }]
    expect(service.supposedDomains()).toEqual(['a', 'b'])
    expect(tracker.view.isConfirmed).toBe(false)
    replica.knowsCommitted = true
    service.mergeCommitted()
    expect(tracker.view.current).toEqual({ index: 11, domains: ['a'] })
    // Later changes are committed, also while another leader is being elected.
    replica.knowsCommitted = false
    group.order('b', true)
    expect(tracker.view.current).toEqual({ index: 12, domains: ['a', 'b'] })
  })
})
