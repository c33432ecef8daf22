import type { Clock, Random } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'

/** Options of {@link NeighbourSelector}. */
export interface NeighbourSelectorOptions {
  /** Returns the other boxes that may carry connections. */
  neighbours: () => Address[]
  clock: Clock
  random: Random
}

/** A box that opened no connection is asked again after this time. */
const EXCLUDED_MS: Millis = 1_000

interface NeighbourState {
  /** Connections that the neighbour carries for this box. */
  open: number
  excludedUntil: Millis
}

/** Selects the boxes that may carry a connection: those with the fewest open ones, without those that recently refused. */
export class NeighbourSelector {
  private readonly states = new Map<Address, NeighbourState>()

  constructor(private readonly options: NeighbourSelectorOptions) {}

  /** Whether any other box is known. */
  get hasNeighbours(): boolean {
    return this.options.neighbours().length > 0
  }

  /** Returns the boxes to ask, in order. */
  candidates(): Address[] {
    const { neighbours, clock, random } = this.options
    const known = neighbours()
    this.forgetUnknown(new Set(known))
    const usable = known.filter((box) => (this.states.get(box)?.excludedUntil ?? 0) <= clock.now())
    const scored = usable.map((box) => ({ box, score: (this.states.get(box)?.open ?? 0) + random() }))
    return scored.sort((left, right) => left.score - right.score).map(({ box }) => box)
  }

  recordOpened(box: Address): void {
    this.stateOf(box).open += 1
  }

  recordClosed(box: Address): void {
    const state = this.states.get(box)
    if (state !== undefined) state.open -= 1
  }

  /** Excludes a box for a while. */
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
