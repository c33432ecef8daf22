/** What a group replicates. Must be deterministic: the same commands give the same state everywhere. */
export interface StateMachine<Command, Result> {
  /** Applies a committed command. */
  apply(command: Command, index: number): Result
  /** The whole state as bytes. */
  snapshot(): Uint8Array
  /** Replaces the state by one that {@link StateMachine.snapshot} gave. */
  restore(data: Uint8Array): void
}
