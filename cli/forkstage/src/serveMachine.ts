import { runMachine, type Machine, type MachineContext } from '@forkstage/fleet'
import { VERSION } from '@forkstage/version'
import { EXIT } from './cliTypes'
import { printError } from './print'

/** Runs one machine of a self-registering deployment until it is told to stop; returns the exit code. */
export async function serveMachine(
  settingsPath: string,
  create: (basics: MachineContext) => Machine,
): Promise<number> {
  try {
    await runMachine({ settingsPath, version: VERSION, create })
    return EXIT.ok
  } catch (error) {
    printError(error)
    return EXIT.failed
  }
}

/** The settings file of a program that is started without the command line. */
export function settingsPathOfProcess(): string {
  return process.env.FORKSTAGE_CONFIG ?? process.argv[2] ?? ''
}
