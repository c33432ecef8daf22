import { ForkstageError } from '@forkstage/error'

/** One thing that is wrong with a settings file. */
export interface SettingsFault {
  /** The key, dotted, as `lease.table_ms`. */
  key: string
  found: string
  allowed: string
}

/** Raised when settings cannot be used; lists every fault. */
export class SettingsError extends ForkstageError {
  readonly faults: SettingsFault[]

  constructor(source: string, faults: SettingsFault[]) {
    const lines = faults.map((fault) => `  ${fault.key}: found ${fault.found}; allowed: ${fault.allowed}`)
    super(
      'FORKSTAGE_SETTINGS',
      [`${source} has ${faults.length} fault(s):`, ...lines].join('\n'),
      'Mend each key named above, then run "forkstage settings check".',
      { step: 'settings' },
    )
    this.faults = faults
  }
}
