import { ForkstageError } from '@forkstage/error'

/** Raised when a report is applied in memory but not written to disk, so that its sender repeats it. */
export class NotPersistedError extends ForkstageError {
  constructor() {
    super('FORKSTAGE_NOT_KEPT', 'The report could not be written to disk.', 'Report it again.', {
      step: 'keep',
    })
  }
}
