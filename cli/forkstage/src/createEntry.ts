import { EntryMachine, type MachineContext } from '@forkstage/fleet'
import { platformGateway, readPlatformSheet } from '@forkstage/platform-system'

/** An entry that speaks the platform's formats. Loads nothing of a control machine. */
export function createEntry(basics: MachineContext): EntryMachine {
  return new EntryMachine(basics, { gateway: platformGateway, readSheet: readPlatformSheet })
}
