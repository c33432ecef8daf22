/** The state that a group replicates. Must be deterministic: the same commands give the same state on every replica. */
export interface StateMachine<Command, Result> {
  /** Applies a committed command and returns its result. */
  apply(command: Command, index: number): Result
  /** Serializes the whole state. */
  snapshot(): Uint8Array
  /** Replaces the state with one that {@link StateMachine.snapshot} returned. */
  restore(data: Uint8Array): void
}
