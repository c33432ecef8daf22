import { readFile } from 'node:fs/promises'
import type { Argv } from 'yargs'
import { parseSettings } from '@forkstage/settings'
import { EXIT, type Command } from '../cliTypes'
import { print } from '../print'

interface CheckArguments {
  file: string
  json: boolean
}

/** `forkstage settings check`: names every fault of a settings file. */
export const settingsCheckCommand: Command<CheckArguments> = {
  command: 'settings check <file>',
  help: 'Check a settings file whole and name every fault',
  options: (argv: Argv) =>
    argv
      .positional('file', { type: 'string', demandOption: true, describe: 'the settings file (TOML)' })
      .option('json', { type: 'boolean', default: false, describe: 'print the checked settings as JSON' })
      .example('$0 settings check examples/addis-box.toml', 'exit code 2 when it has faults'),
  async handler({ file, json }) {
    const settings = parseSettings(await readFile(file, 'utf8'), { source: file })
    print(json ? JSON.stringify(settings, null, 2) : `${file}: no faults`)
    return EXIT.ok
  },
}
