import type { Argv } from 'yargs'
import type { Command } from '../cliTypes'
import { createMachine } from '../createMachine'
import { serveMachine } from '../serveMachine'

interface ServeArguments {
  settings: string
}

/** `forkstage serve`: runs one machine of a self-registering deployment. */
export const serveCommand: Command<ServeArguments> = {
  command: 'serve',
  help: 'Run this machine, as an entry or for control, until it is stopped',
  options: (argv: Argv) =>
    argv
      .option('settings', {
        type: 'string',
        default: process.env.FORKSTAGE_CONFIG ?? 'machine.toml',
        describe: 'the settings of this machine (TOML)',
      })
      .example(
        '$0 serve --settings entry.toml',
        'SIGTERM starts a planned stop, SIGHUP reloads the settings',
      ),
  handler: ({ settings }) => serveMachine(settings, createMachine),
}
