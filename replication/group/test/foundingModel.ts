import type { GroupConfig, Member } from '@forkstage/raft'
import { FoundingRounds, type IdentityAnswer } from '../src/founding'

/** What a machine has on its disk. */
interface Disk {
  replica: string
  mayFound: boolean
  /** Ids of the voters that it started from; `-` if it joins a group without it; absent while it is empty. */
  saved?: string
}

interface Machine {
  isUp: boolean
  /** Whether its first start is over, so that the next ones may not found. */
  hasStarted: boolean
  disk?: Disk
  isOpen: boolean
  /** Answers of the round in progress, by machine; null where there was none. */
  round: (Answer | null)[]
  /** The voters that it asked again about. */
  proposed?: string
  /** What it is about to save. */
  pending?: string
  disksLost: number
}

interface Answer {
  replica: string
  mayFound: boolean
  founding?: string
}

/** One state of all machines, and what has been established so far. */
export interface FoundingState {
  machines: Machine[]
  killsLeft: number
  disksLeft: number
  /** Foundings from which a majority of their voters had started at one time, so that they may have acknowledged. */
  established: string[]
}

const JOINED = '-'

export function firstState(machines: number, kills: number, disks: number): FoundingState {
  const one = (): Machine => ({
    isUp: true,
    hasStarted: false,
    isOpen: false,
    round: Array<null>(machines).fill(null),
    disksLost: 0,
  })
  return {
    machines: Array.from({ length: machines }, one),
    killsLeft: kills,
    disksLeft: disks,
    established: [],
  }
}

/** All states that one step leads to. */
export function nextStates(state: FoundingState): FoundingState[] {
  return state.machines.flatMap((machine, number) => [
    ...(machine.isUp ? steps(state, number) : [start(state, number)]),
    ...(machine.isUp && state.killsLeft > 0 ? kills(state, number) : []),
  ])
}

/** Runs all machines without faults; returns what each started from. */
export function settle(state: FoundingState, rounds: number): (string | undefined)[] {
  let now = state
  const change = (next: FoundingState | undefined) => void (now = next ?? now)
  now.machines.forEach((machine, number) => {
    if (!machine.isUp) change(start(now, number))
  })
  for (let round = 0; round < rounds; round += 1)
    for (let number = 0; number < now.machines.length; number += 1) {
      if (!now.machines[number]!.isOpen) change(open(now, number))
      for (let other = 0; other < now.machines.length; other += 1) change(ask(now, number, other))
      change(finishRound(now, number))
      change(save(now, number))
    }
  return now.machines.map(({ disk }) => disk?.saved)
}

function steps(state: FoundingState, number: number): FoundingState[] {
  const machine = state.machines[number]!
  if (!machine.isOpen) return [open(state, number)]
  if (machine.disk!.saved !== undefined) return []
  if (machine.pending !== undefined) return [save(state, number)!]
  const asked = state.machines.map((_, other) => ask(state, number, other))
  return [...asked, finishRound(state, number)].filter((next) => next !== undefined)
}

function update(state: FoundingState, number: number, change: Partial<Machine>): FoundingState {
  const machines = state.machines.map((machine, at) => (at === number ? { ...machine, ...change } : machine))
  return { ...state, machines }
}

function start(state: FoundingState, number: number): FoundingState {
  return update(state, number, { isUp: true })
}

/** Opens the disk; a new one gets an identity and remembers whether the machine may found. */
function open(state: FoundingState, number: number): FoundingState {
  const machine = state.machines[number]!
  const isFirstStart = !machine.hasStarted
  const disk = machine.disk ?? { replica: `${number}.${machine.disksLost}`, mayFound: false }
  return update(state, number, {
    isOpen: true,
    hasStarted: true,
    disk: { ...disk, mayFound: disk.mayFound || isFirstStart },
  })
}

function kills(state: FoundingState, number: number): FoundingState[] {
  const killed = update({ ...state, killsLeft: state.killsLeft - 1 }, number, {
    isUp: false,
    hasStarted: true,
    isOpen: false,
    round: state.machines.map(() => null),
    proposed: undefined,
    pending: undefined,
  })
  if (state.disksLeft === 0 || state.machines[number]!.disk === undefined) return [killed]
  const { disksLost } = state.machines[number]!
  const lost = update(killed, number, { disk: undefined, disksLost: disksLost + 1 })
  return [killed, { ...lost, disksLeft: state.disksLeft - 1 }]
}

/** Puts another machine's answer of this moment into the round. */
function ask(state: FoundingState, number: number, other: number): FoundingState | undefined {
  const { round } = state.machines[number]!
  const to = state.machines[other]!
  if (
    other === number ||
    round[other] !== null ||
    !to.isUp ||
    !to.isOpen ||
    state.machines[number]!.pending !== undefined
  )
    return undefined
  const { replica, mayFound, saved } = to.disk!
  const founding = saved ?? heardFounding(to)
  const answer = { replica, mayFound, founding: founding === JOINED ? undefined : founding }
  return update(state, number, { round: round.with(other, answer) })
}

/** The founding that an empty machine has heard of and will start from. */
function heardFounding({ pending, round, disk }: Machine): string | undefined {
  const heard = round.map((answer) => answer?.founding).find((founding) => founding !== undefined)
  return pending ?? (heard?.split(',').includes(disk!.replica) === true ? heard : undefined)
}

/** Decides with the answers that have come; machines that have not answered count as silent. */
function finishRound(state: FoundingState, number: number): FoundingState | undefined {
  const machine = state.machines[number]!
  if (machine.pending !== undefined || !machine.isOpen || machine.disk?.saved !== undefined) return undefined
  // Without another machine's answer nothing is decided.
  if (machine.round.every((answer) => answer === null)) return undefined
  const rounds = new FoundingRounds()
  Object.assign(rounds, { proposed: machine.proposed })
  const { replica, mayFound } = machine.disk!
  const all = machine.round.with(number, { replica, mayFound })
  const answers = all.map((answer, at) => (answer === null ? undefined : toAnswer(answer, at)))
  const decision = rounds.decide(memberOf(replica, number), answers)
  const { proposed } = rounds as unknown as { proposed?: string }
  const pending =
    decision.type === 'found' ? idsOf(decision.config) : decision.type === 'join' ? JOINED : undefined
  return update(state, number, { round: state.machines.map(() => null), proposed, pending })
}

function save(state: FoundingState, number: number): FoundingState | undefined {
  const { disk, pending } = state.machines[number]!
  if (pending === undefined) return undefined
  const saved = update(state, number, { disk: { ...disk!, saved: pending }, pending: undefined })
  return { ...saved, established: [...new Set([...state.established, ...establishedNow(saved)])].sort() }
}

function establishedNow({ machines }: FoundingState): string[] {
  const disks = machines.map(({ disk }) => disk).filter((disk) => disk !== undefined)
  const foundings = disks.map(({ saved }) => saved).filter((saved) => saved !== undefined)
  return foundings.filter((founding) => {
    const voters = founding.split(',')
    const started = disks.filter(({ replica, saved }) => saved === founding && voters.includes(replica))
    return founding !== JOINED && started.length > voters.length / 2
  })
}

function memberOf(replica: string, number: number): Member {
  return { replica, box: `control-${number}`, address: `10.0.0.${number}:1` }
}

function toAnswer({ replica, mayFound, founding }: Answer, number: number): IdentityAnswer {
  const voters = founding?.split(',').map((id) => memberOf(id, Number(id.split('.')[0])))
  const config: GroupConfig | undefined = voters && { voters, learners: [] }
  return { ...memberOf(replica, number), mayFound, founding: config }
}

function idsOf({ voters }: GroupConfig): string {
  return voters.map(({ replica }) => replica).join()
}
