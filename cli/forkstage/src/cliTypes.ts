import type { Argv } from 'yargs'

/** Exit codes of the command line (docs/operators/commands.md). */
export const EXIT = {
  ok: 0,
  /** The command failed. */
  failed: 1,
  /** The command line, or a file that it names, is invalid. */
  usage: 2,
  /** Another table was confirmed first. */
  conflict: 3,
  /** Accepted, but not in force on every box in the time allowed. */
  notInForce: 4,
  /** A planned stop had to abort requests. */
  cut: 5,
} as const

/** Options of every command that calls a box. */
export interface BoxArguments {
  box: string
  token: string
  json: boolean
}

/** A command of the command line. */
export interface Command<Arguments = Record<string, unknown>> {
  /** The command and its arguments, in the syntax of yargs. */
  command: string
  help: string
  options: (argv: Argv) => Argv
  /** @returns the exit code. */
  handler: (args: Arguments) => Promise<number>
}
