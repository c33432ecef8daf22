import { seedAddresses } from '@forkstage/fleet-settings'
import { GroupHost } from '@forkstage/group'
import type { SheetCommand, SheetStateMachine, SheetResult } from '@forkstage/sheet'
import type { MachineContext } from './machineContext'

const REOPEN_AFTER_MS = 400

/** Creates the host of this machine's replica of a group from its settings. */
export function createGroupHost(
  group: string,
  { settings, peers, clock, random, logger }: MachineContext,
  sheetMachine: SheetStateMachine,
): GroupHost<SheetCommand, SheetResult> {
  const { control, listen } = settings
  return new GroupHost({
    group,
    box: settings.machine.name,
    address: listen.peers,
    domain: settings.machine.zone,
    folder: `${settings.machine.data_folder}/${group}`,
    firstReplicas: seedAddresses(settings).map((address) => ({ address })),
    mayFound: control.found,
    reopenAfter: REOPEN_AFTER_MS,
    machine: sheetMachine,
    peers,
    clock,
    random,
    logger,
    electionTimeout: control.election_timeout_ms,
    heartbeat: control.heartbeat_ms,
    snapshotEvery: control.snapshot_every,
  })
}
