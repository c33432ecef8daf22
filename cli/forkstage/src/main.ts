import './takeSignalsOfMachines'
import yargs, { type Argv } from 'yargs'
import { hideBin } from 'yargs/helpers'
import { SettingsError } from '@forkstage/settings'
import { TableError } from '@forkstage/table'
import { EXIT, type Command } from './cliTypes'
import { controlReplaceCommand } from './commands/controlReplace'
import { evacuateCommand } from './commands/evacuate'
import { explainCommand } from './commands/explain'
import { lossesCommand } from './commands/losses'
import { orderCommand } from './commands/order'
import { runCommand } from './commands/run'
import { serveCommand } from './commands/serve'
import { settingsCheckCommand } from './commands/settingsCheck'
import { statusCommand } from './commands/status'
import { stopCommand } from './commands/stop'
import { tableCheckCommand } from './commands/tableCheck'
import { tableConfirmCommand } from './commands/tableConfirm'
import { tableDiffCommand } from './commands/tableDiff'
import { tableExportCommand } from './commands/tableExport'
import { tableHistoryCommand } from './commands/tableHistory'
import { tableShowCommand } from './commands/tableShow'
import { traceCommand } from './commands/trace'
import { versionCommand } from './commands/version'
import { printError } from './print'

/** Commands with a common first word, such as `table show`. */
interface CommandGroup {
  word: string
  help: string
  commands: Command<never>[]
}

const TOP_LEVEL_COMMANDS: Command<never>[] = [
  runCommand,
  serveCommand,
  traceCommand,
  lossesCommand,
  statusCommand,
  explainCommand,
  orderCommand,
  evacuateCommand,
  stopCommand,
  versionCommand,
]
const COMMAND_GROUPS: CommandGroup[] = [
  { word: 'settings', help: 'Settings of a box', commands: [settingsCheckCommand] },
  {
    word: 'table',
    help: 'The table of endpoints and links',
    commands: [
      tableShowCommand,
      tableExportCommand,
      tableCheckCommand,
      tableDiffCommand,
      tableConfirmCommand,
      tableHistoryCommand,
    ],
  },
  { word: 'control', help: 'The control replicas', commands: [controlReplaceCommand] },
]

async function main(): Promise<void> {
  const parser = yargs(hideBin(process.argv)).scriptName('forkstage').version(false).strict().demandCommand(1)
  TOP_LEVEL_COMMANDS.forEach((command) => addCommand(parser, command, command.command))
  for (const { word, help, commands } of COMMAND_GROUPS) {
    parser.command(word, help, (group) => {
      commands.forEach((command) => addCommand(group, command, command.command.slice(word.length + 1)))
      return group.demandCommand(1)
    })
  }
  parser.fail((message, error, self) => {
    if (error !== undefined) throw error
    process.stderr.write(`${message}\n\n`)
    self.showHelp('error')
    process.exit(EXIT.usage)
  })
  await parser.parseAsync()
}

function addCommand(parser: Argv, command: Command<never>, usage: string): void {
  parser.command(usage, command.help, command.options, async (args) => {
    process.exitCode = await command.handler(args as never).catch((error: unknown) => {
      printError(error)
      return error instanceof SettingsError || error instanceof TableError ? EXIT.usage : EXIT.failed
    })
    // Open connections to other processes must not keep a finished command alive.
    process.exit()
  })
}

main().catch((error: unknown) => {
  printError(error)
  process.exit(EXIT.failed)
})
