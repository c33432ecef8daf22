import { EntryMachine, type MachineContext } from '@forkstage/fleet'
import { platformGateway, readPlatformSheet } from '@forkstage/platform-system'

/** Creates an entry that uses the platform's formats. Imports nothing of a control machine. */
export function createEntry(context: MachineContext): EntryMachine {
  return new EntryMachine(context, { gateway: platformGateway, readSheet: readPlatformSheet })
}
