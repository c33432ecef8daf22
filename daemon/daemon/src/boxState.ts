/** The lifecycle phase of a box. */
export type BoxPhase = 'starting' | 'serving' | 'unready' | 'draining' | 'stopped'

/** The phase of this box, shared by the components that depend on it. */
export class BoxState {
  phase: BoxPhase = 'starting'

  /** Whether the box's heartbeats report it as leaving. */
  get isLeaving(): boolean {
    return this.phase === 'unready' || this.phase === 'draining' || this.phase === 'stopped'
  }

  /** Why the phase allows no new work; undefined if it does. */
  get refusal(): string | undefined {
    if (this.phase === 'starting') return 'it is starting'
    return this.phase === 'draining' || this.phase === 'stopped' ? 'it is stopping' : undefined
  }
}
