import { ForkstageError } from '@forkstage/error'

/** Raised when a file of the replica does not match its checksums. */
export class DamagedLogError extends ForkstageError {
  constructor(path: string, offset: number) {
    super(
      'FORKSTAGE_DISK_DAMAGED',
      `${path} is damaged at byte ${offset}: what follows was once whole, so it is not cut.`,
      'Replace this replica: move its folder away and run "forkstage control replace".',
      { step: 'open replica folder' },
    )
  }
}

/** Raised when a write or a sync failed; nothing written since may be relied on. */
export class DiskError extends ForkstageError {
  constructor(step: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    super(
      'FORKSTAGE_DISK_FAILED',
      `The data folder cannot be written: ${reason}`,
      'Mend the disk or its space, then start the box again; the replica takes part in nothing until then.',
      { step, cause },
    )
  }
}
