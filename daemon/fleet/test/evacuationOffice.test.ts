import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import type { SetEvacuation } from '@forkstage/evacuation'
import { GroupUnavailableError, type GroupClient, type GroupHost } from '@forkstage/group'
import { createSilentLogger } from '@forkstage/logger'
import { SheetStateMachine, type SheetCommand, type SheetResult } from '@forkstage/sheet'
import { EvacuationBelief } from '../src/evacuationBelief'
import { EvacuationOffice } from '../src/evacuationOffice'

/** A group whose commits happen at once and whose answers may be lost, with offices of two machines. */
function officeWorld() {
  const clock = new ManualClock()
  const machine = new SheetStateMachine()
  const world = {
    index: 10,
    /** Commands as they reached the leader. */
    sent: [] as SetEvacuation[],
    losesAnswers: false,
    /** Happens once, before the next command is applied. */
    between: undefined as (() => void) | undefined,
    apply: (command: SheetCommand) => machine.apply(command, (world.index += 1)),
    order: (domain: string, isEvacuated: boolean) =>
      world.apply({ type: 'setEvacuation', domain, isEvacuated, knownIndex: world.index }),
  }
  const client = {
    callLeader: async (_method: string, command: SetEvacuation) => {
      world.sent.push(command)
      world.between?.()
      world.between = undefined
      const result = world.apply(command)
      if (world.losesAnswers) throw new GroupUnavailableError('sheet', new Error('killed after the commit'))
      return result
    },
  } as unknown as GroupClient<SheetCommand, SheetResult>
  const replica = { holdsLease: false, knowsCommitted: false, uncommitted: [] as { data: unknown }[] }
  const host = { replica } as unknown as GroupHost<SheetCommand, SheetResult>
  const logger = createSilentLogger()
  const belief = new EvacuationBelief({ logger })
  const office = new EvacuationOffice({ group: 'sheet', host, machine, client, belief, clock, logger })
  return { world, machine, replica, belief, office }
}

const order = (isEvacuated: boolean, isWaitedFor = () => true) => ({ domain: 'a', isEvacuated, isWaitedFor })

describe('EvacuationOffice', () => {
  it('keeps an order that its own disk holds though another machine has told an older set first', () => {
    const { world, machine } = officeWorld()
    world.order('a', true)
    const restarted = officeWorld()
    // Read while nothing was heard and no leader was known, so that it was not believed yet.
    restarted.machine.restore(machine.snapshot())
    restarted.office.takeCommitted()
    expect(restarted.belief.view.isEvacuated('a')).toBe(false)
    restarted.office.takeHeard({ index: -1, domains: [] })
    expect(restarted.belief.view.current).toEqual({ index: 11, domains: ['a'] })
  })

  it('answers a resend the same where the leader was killed between the commit and its answer', async () => {
    const { world, machine, replica, office } = officeWorld()
    world.losesAnswers = true
    await expect(office.set(order(true))).rejects.toThrow(GroupUnavailableError)
    expect(machine.evacuations.current).toEqual({ index: 11, domains: ['a'] })
    world.losesAnswers = false
    expect(await office.set(order(true))).toEqual({ index: 11, outcome: 'held' })
    // The machine that leads now answers without a write.
    replica.holdsLease = true
    expect(await office.set(order(true))).toEqual({ index: 11, outcome: 'held' })
    expect(world.sent).toHaveLength(2)
  })

  it('proposes anew on top of what came between while its caller waits', async () => {
    const { world, machine, office } = officeWorld()
    world.between = () => void world.order('b', true)
    expect(await office.set(order(true))).toEqual({ index: 13, outcome: 'changed' })
    expect(world.sent.map(({ knownIndex }) => knownIndex)).toEqual([-1, 11])
    expect(machine.evacuations.current.domains).toEqual(['a', 'b'])
  })

  it('does not bring an evacuation back that was withdrawn meanwhile, once nobody waits for it', async () => {
    const { world, machine, belief, office } = officeWorld()
    world.order('b', true)
    belief.take(machine.evacuations.current)
    let isWaitedFor = true
    world.between = () => {
      world.order('a', true)
      world.order('a', false)
      isWaitedFor = false
    }
    await expect(office.set(order(true, () => isWaitedFor))).rejects.toThrow(GroupUnavailableError)
    expect(machine.evacuations.current.domains).toEqual(['b'])
    expect(world.sent).toHaveLength(1)
  })

  it('believes what its disk says only once it knows what is committed, and supposes what may be', () => {
    const { world, machine, replica, belief, office } = officeWorld()
    machine.onEvacuations = () => office.takeCommitted()
    world.order('a', true)
    const pending = { type: 'setEvacuation', domain: 'b', isEvacuated: true, knownIndex: 11 }
    replica.uncommitted = [{ data: undefined }, { data: { type: 'putSheet' } }, { data: pending }]
    expect(office.supposed()).toEqual(['a', 'b'])
    expect(belief.view.isConfirmed).toBe(false)
    replica.knowsCommitted = true
    office.takeCommitted()
    expect(belief.view.current).toEqual({ index: 11, domains: ['a'] })
    // What is applied later is committed, also while another leader is being elected.
    replica.knowsCommitted = false
    world.order('b', true)
    expect(belief.view.current).toEqual({ index: 12, domains: ['a', 'b'] })
  })
})
