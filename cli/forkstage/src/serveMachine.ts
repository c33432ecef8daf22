import { runMachine } from '@forkstage/fleet'
import { platformControl, platformGateway } from '@forkstage/platform-system'
import { EXIT } from './cliTypes'
import { printError } from './print'
import { VERSION } from '@forkstage/version'

/** Runs one machine of a self-registering deployment until it is told to stop; returns the exit code. */
export async function serveMachine(settingsPath: string): Promise<number> {
  const wire = {
    control: platformControl,
    entry: { gateway: platformGateway, readSheet: platformControl.readSheet },
  }
  try {
    await runMachine({ settingsPath, version: VERSION, wire })
    return EXIT.ok
  } catch (error) {
    printError(error)
    return EXIT.failed
  }
}
