import { runMachine, type Machine, type MachineContext } from '@forkstage/fleet'
import { VERSION } from '@forkstage/version'
import { EXIT } from './cliTypes'
import { printError } from './print'

/** Runs one machine of a self-registering deployment until it is stopped; returns the exit code. */
export async function serveMachine(
  settingsPath: string,
  create: (context: MachineContext) => Machine,
): Promise<number> {
  try {
    await runMachine({ settingsPath, version: VERSION, create })
    return EXIT.ok
  } catch (error) {
    printError(error)
    return EXIT.failed
  }
}

/** Returns the path of the settings file for programs without a command line parser. */
export function settingsPathOfProcess(): string {
  return process.env.FORKSTAGE_CONFIG ?? process.argv[2] ?? ''
}
