/** The command line. */
export { EXIT } from './cliTypes'
export type { BoxArguments, Command } from './cliTypes'
export { print, printTable } from './print'
