import { delay, type ManualClock, type Random } from '@forkstage/clock'
import { PeerUnreachableError, type PeerCaller, type PeerContext, type PeerMethod } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import type { MachineClock } from './machineClock'

/** How a link is cut: `silent` delays what is sent until the link heals, `reset` refuses it. */
export type CutKind = 'silent' | 'reset'

/** A machine of a {@link ModelNetwork}. */
export interface NetworkMachine {
  address: Address
  clock: MachineClock
  /** Changes with each start; what was sent to or by an earlier process is lost. */
  incarnation: number
  methods: Record<string, PeerMethod>
}

const STEP_MS: Millis = 5
/** A connection on which nothing has arrived for this long after a message counts as lost. */
const SILENT_MS: Millis = 900

/** Carries calls between simulated machines, whose links can be cut in each direction. */
export class ModelNetwork {
  private readonly machines = new Map<Address, NetworkMachine>()
  private readonly cuts = new Map<string, CutKind>()
  private readonly receivedAt = new Map<string, Millis>()

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
  ) {}

  add(machine: NetworkMachine): void {
    this.machines.set(machine.address, machine)
  }

  cut(from: Address, to: Address, kind: CutKind): void {
    this.cuts.set(`${from} ${to}`, kind)
  }

  heal(from: Address, to: Address): void {
    this.cuts.delete(`${from} ${to}`)
  }

  isCut(from: Address, to: Address): boolean {
    return this.cuts.has(`${from} ${to}`)
  }

  /** Whether two machines run and reach each other. */
  areConnected(one: Address, other: Address): boolean {
    const areRunning = [one, other].every((address) => this.machines.get(address)!.clock.isFrozen === false)
    return areRunning && !this.isCut(one, other) && !this.isCut(other, one)
  }

  /** Returns how one process of a machine calls others. */
  callerFor(from: NetworkMachine): PeerCaller {
    const { incarnation } = from
    const isOld = () => from.incarnation !== incarnation
    return {
      call: <Result>(
        to: Address,
        method: string,
        params: unknown,
        { deadline, step }: { deadline: Millis; step: string },
      ) => this.call(from, to, { method, params, deadline, step, isOld }) as Promise<Result>,
      notify: (to, method, params) =>
        void this.call(from, to, { method, params, deadline: Infinity, step: method, isOld }).catch(
          () => undefined,
        ),
    }
  }

  private call(from: NetworkMachine, to: Address, call: ModelCall): Promise<unknown> {
    const { method, params, deadline, step, isOld } = call
    const unreachable = () => new PeerUnreachableError(to, step, 'no answer')
    return new Promise((resolve, reject) => {
      const sentAt = this.clock.now()
      const fail = () => reject(unreachable())
      if (deadline < Infinity) from.clock.after(deadline, fail)
      from.clock.after(SILENT_MS, () => {
        const receivedAt = this.receivedAt.get(`${to} ${from.address}`) ?? -Infinity
        if (receivedAt < sentAt) fail()
      })
      void this.carry(from.address, to, { isOld, fail }).then(async () => {
        const target = this.machines.get(to)!
        const { incarnation } = target
        const isGone = () => isOld() || target.incarnation !== incarnation
        try {
          // Copied, as by a network.
          const handler = target.methods[method]
          if (handler === undefined) throw new Error(`no method ${method}`)
          const result = copy(await handler(copy(params) as never, {} as PeerContext))
          await this.carry(to, from.address, { isOld: isGone, fail })
          resolve(result)
        } catch (error) {
          await this.carry(to, from.address, { isOld: isGone, fail })
          reject(error as Error)
        }
      })
    })
  }

  /** Resolves once a message is delivered; never, if it is lost. */
  private async carry(from: Address, to: Address, message: ModelMessage): Promise<void> {
    await delay(this.clock, 1 + this.random() * 2)
    const isHeld = () =>
      this.isCut(from, to) || this.machines.get(from)!.clock.isFrozen || this.machines.get(to)!.clock.isFrozen
    while (isHeld() && this.cuts.get(`${from} ${to}`) !== 'reset' && !message.isOld())
      await delay(this.clock, STEP_MS)
    const isLost = message.isOld() || this.cuts.get(`${from} ${to}`) === 'reset'
    if (!isLost) return void this.receivedAt.set(`${from} ${to}`, this.clock.now())
    message.fail()
    await new Promise(() => undefined)
  }
}

interface ModelCall {
  method: string
  params: unknown
  deadline: Millis
  step: string
  /** Whether the process that called has ended. */
  isOld: () => boolean
}

interface ModelMessage {
  /** Whether a process that takes part has ended. */
  isOld: () => boolean
  /** Called if the message is lost. */
  fail: () => void
}

function copy(value: unknown): unknown {
  return value === undefined ? undefined : (JSON.parse(JSON.stringify(value)) as unknown)
}
