import type { Clock, Random } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

/** Options of {@link NeighbourSelector}. */
export interface NeighbourSelectorOptions {
  /** Returns the other boxes that may carry connections. */
  neighbours: () => Address[]
  clock: Clock
  random: Random
}

/** A box that carries nothing is asked only after all others for this time. */
const EXCLUDED_MS: Millis = 1_000

interface NeighbourState {
  /** Connections that the neighbour carries for this box. */
  open: number
  excludedUntil: Millis
}

/** Selects the boxes that may carry a connection: those with the fewest open ones first. */
export class NeighbourSelector {
  private readonly states = new Map<Address, NeighbourState>()

  constructor(private readonly options: NeighbourSelectorOptions) {}

  /** Whether any other box is known. */
  get hasNeighbours(): boolean {
    return this.options.neighbours().length > 0
  }

  /** Returns the boxes to ask, in order; those that recently refused come last. */
  candidates(): Address[] {
    const { neighbours, clock, random } = this.options
    const known = neighbours()
    this.forgetUnknown(new Set(known))
    const scored = known.map((box) => {
      const { open = 0, excludedUntil = 0 } = this.states.get(box) ?? {}
      return { box, refusedMs: Math.max(0, excludedUntil - clock.now()), score: open + random() }
    })
    scored.sort((left, right) => left.refusedMs - right.refusedMs || left.score - right.score)
    return scored.map(({ box }) => box)
  }

  recordOpened(box: Address): void {
    this.stateOf(box).open += 1
  }

  recordClosed(box: Address): void {
    const state = this.states.get(box)
    if (state !== undefined) state.open -= 1
  }

  /** Has a box asked last for a while. */
  recordUnavailable(box: Address): void {
    this.stateOf(box).excludedUntil = this.options.clock.now() + EXCLUDED_MS
  }

  private stateOf(box: Address): NeighbourState {
    const known = this.states.get(box)
    if (known !== undefined) return known
    const fresh = { open: 0, excludedUntil: 0 }
    this.states.set(box, fresh)
    return fresh
  }

  private forgetUnknown(known: ReadonlySet<Address>): void {
    for (const [box, { open }] of this.states) if (open === 0 && !known.has(box)) this.states.delete(box)
  }
}
