import type { Argv } from 'yargs'

/** Exit codes of the command line (docs/operators/commands.md). */
export const EXIT = {
  ok: 0,
  /** The command could not be carried out. */
  failed: 1,
  /** The words of the command line, or a file named there, are wrong. */
  usage: 2,
  /** Another table was confirmed first. */
  conflict: 3,
  /** Accepted, but not in force on every box in the time allowed. */
  notInForce: 4,
  /** A planned stop had to cut requests short. */
  cut: 5,
} as const

/** Options that every command which talks to a box takes. */
export interface BoxArguments {
  box: string
  token: string
  json: boolean
}

/** One command of the command line. */
export interface Command<Arguments = Record<string, unknown>> {
  /** The command's words, as yargs reads them. */
  command: string
  help: string
  options: (argv: Argv) => Argv
  /** @returns the exit code. */
  handler: (args: Arguments) => Promise<number>
}
