import type { Argv } from 'yargs'
import type { BoxArguments } from './cliTypes'

/** Arguments of commands that require a folder with both sheets. */
export interface FolderArguments extends BoxArguments {
  folder: string
}

/** Adds the argument for the folder to a command. */
export function withFolder(argv: Argv): Argv {
  const describe = 'a folder with endpoints.csv and links.csv'
  return argv.positional('folder', { type: 'string', demandOption: true, describe })
}
