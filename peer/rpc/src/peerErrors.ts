import { ForkstageError, type ErrorBody } from '@forkstage/error'

/** Raised when a call to another box was not answered; the call may have been executed. */
export class PeerUnreachableError extends ForkstageError {
  constructor(peer: string, step: string, reason: string, cause?: unknown) {
    super(
      'FORKSTAGE_PEER_UNREACHABLE',
      `${peer} did not answer: ${reason}`,
      'Check that the box runs and can be reached.',
      {
        step,
        peer,
        cause,
      },
    )
  }
}

/** Raised when another box answered with an error; carries that error's code and hint. */
export class PeerAnswerError extends ForkstageError {
  constructor(peer: string, step: string, body: ErrorBody) {
    super(body.code as `FORKSTAGE_${string}`, body.message, body.hint, {
      step: body.step ?? step,
      peer: body.peer ?? peer,
    })
  }
}

/** Raised when the other side could not prove that it knows the shared key. */
export class PeerProofError extends ForkstageError {
  constructor(peer: string) {
    super(
      'FORKSTAGE_PEER_PROOF',
      `${peer} does not know the shared key.`,
      'Give both boxes the same peers.shared_key.',
      {
        step: 'peer handshake',
        peer,
      },
    )
  }
}
