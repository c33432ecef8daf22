import { ForkstageError } from '@forkstage/error'

/** A fault in a settings file. */
export interface SettingsFault {
  /** The key, dotted, as `lease.table_ms`. */
  key: string
  found: string
  allowed: string
}

/** Raised when settings are invalid; lists every fault. */
export class SettingsError extends ForkstageError {
  readonly faults: SettingsFault[]

  constructor(source: string, faults: SettingsFault[]) {
    const lines = faults.map((fault) => `  ${fault.key}: found ${fault.found}; allowed: ${fault.allowed}`)
    super(
      'FORKSTAGE_SETTINGS',
      [`${source} has ${faults.length} fault(s):`, ...lines].join('\n'),
      'Fix each key named above, then run "forkstage settings check".',
      { step: 'settings' },
    )
    this.faults = faults
  }
}
