import { ForkstageError } from '@forkstage/error'
import type { Address } from '@forkstage/types'

/** Raised when a command reached a replica that does not lead; names the leader where it is known. */
export class NotLeaderError extends ForkstageError {
  readonly leader?: Address

  constructor(group: string, leader: Address | undefined) {
    super(
      'FORKSTAGE_NOT_LEADER',
      `This replica does not lead ${group}.`,
      `The leader is ${leader ?? 'not known yet'}.`,
      {
        step: 'propose',
        peer: leader,
      },
    )
    this.leader = leader
  }
}

/** Raised when a command was handed over but its outcome was not seen; it may take effect later. */
export class OutcomeUnknownError extends ForkstageError {
  constructor(group: string, reason: string) {
    super(
      'FORKSTAGE_OUTCOME_UNKNOWN',
      `Whether ${group} took the command is not known: ${reason}.`,
      'Send it again: every command may be sent twice.',
      {
        step: 'propose',
      },
    )
  }
}

/** Raised when no replica of a group could be made to take a command in time. */
export class GroupUnavailableError extends ForkstageError {
  constructor(group: string, lastError: unknown) {
    const reason = lastError instanceof Error ? lastError.message : 'no replica answered'
    super(
      'FORKSTAGE_GROUP_UNAVAILABLE',
      `No leader of ${group} could be reached: ${reason}`,
      'Check that a majority of the control boxes runs.',
      {
        step: 'propose',
        cause: lastError,
      },
    )
  }
}
