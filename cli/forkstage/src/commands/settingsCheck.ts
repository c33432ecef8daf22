import { readFile } from 'node:fs/promises'
import type { Argv } from 'yargs'
import { parseFleetSettings } from '@forkstage/fleet-settings'
import { parseSettings, readToml } from '@forkstage/settings'
import { EXIT, type Command } from '../cliTypes'
import { print } from '../print'

interface CheckArguments {
  file: string
  json: boolean
}

/** `forkstage settings check`: reports all faults of a settings file. */
export const settingsCheckCommand: Command<CheckArguments> = {
  command: 'settings check <file>',
  help: 'Check a settings file and report all faults',
  options: (argv: Argv) =>
    argv
      .positional('file', { type: 'string', demandOption: true, describe: 'the settings file (TOML)' })
      .option('json', { type: 'boolean', default: false, describe: 'print the checked settings as JSON' })
      .example('$0 settings check examples/addis-box.toml', 'exit code 2 if there are faults'),
  async handler({ file, json }) {
    const text = await readFile(file, 'utf8')
    const isFleet = 'machine' in (readToml(text, file) as object)
    const settings = isFleet
      ? parseFleetSettings(text, { source: file })
      : parseSettings(text, { source: file })
    print(json ? JSON.stringify(settings, null, 2) : `${file}: no faults`)
    return EXIT.ok
  },
}
