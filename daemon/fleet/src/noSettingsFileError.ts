import { ForkstageError } from '@forkstage/error'

/** Raised if a machine is started without the path of its settings file. */
export class NoSettingsFileError extends ForkstageError {
  constructor() {
    super(
      'FORKSTAGE_NO_SETTINGS_FILE',
      'No settings file was named.',
      'Give its path in FORKSTAGE_CONFIG or as the first argument.',
      { step: 'start' },
    )
  }
}
