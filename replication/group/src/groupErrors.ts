import { ForkstageError } from '@forkstage/error'
import type { Address } from '@forkstage/types'

/** Raised when a command reaches a replica that is not the leader; names the leader if known. */
export class NotLeaderError extends ForkstageError {
  readonly leader?: Address

  constructor(group: string, leader: Address | undefined) {
    super(
      'FORKSTAGE_NOT_LEADER',
      `This replica is not the leader of ${group}.`,
      `The leader is ${leader ?? 'not known yet'}.`,
      {
        step: 'propose',
        peer: leader,
      },
    )
    this.leader = leader
  }
}

/** Raised when a command was proposed but its outcome is unknown; the command may still take effect. */
export class OutcomeUnknownError extends ForkstageError {
  constructor(group: string, reason: string) {
    super(
      'FORKSTAGE_OUTCOME_UNKNOWN',
      `It is unknown whether ${group} applied the command: ${reason}.`,
      'Send the command again: every command is safe to send twice.',
      {
        step: 'propose',
      },
    )
  }
}

/** Raised when no leader of a group has answered a call in time. */
export class GroupUnavailableError extends ForkstageError {
  constructor(group: string, lastError: unknown) {
    const reason = lastError instanceof Error ? lastError.message : 'no replica answered'
    super(
      'FORKSTAGE_GROUP_UNAVAILABLE',
      `No leader of ${group} could be reached: ${reason}`,
      'Check that a majority of the control boxes is running.',
      {
        step: 'propose',
        cause: lastError,
      },
    )
  }
}
