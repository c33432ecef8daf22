import { ForkstageError } from '@forkstage/error'

/** Raised when a file of a replica does not match its checksums. */
export class DamagedLogError extends ForkstageError {
  constructor(path: string, offset: number) {
    super(
      'FORKSTAGE_DISK_DAMAGED',
      `${path} is damaged at byte ${offset}: the data there was written completely, so it is not truncated.`,
      'Replace this replica: move its folder away and run "forkstage control replace".',
      { step: 'open replica folder' },
    )
  }
}

/** Raised when a write or a sync failed; data written since the last successful sync must not be relied on. */
export class DiskError extends ForkstageError {
  constructor(step: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    super(
      'FORKSTAGE_DISK_FAILED',
      `The data folder cannot be written: ${reason}`,
      'Repair the disk or free space on it, then restart the box. The replica does not run until then.',
      { step, cause },
    )
  }
}
