/** The command line. */
export { EXIT } from './cliTypes'
export type { BoxArguments, Command } from './cliTypes'
