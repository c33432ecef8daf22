/** The programs of a self-registering deployment. */
export { runMachine } from './runMachine'
export type { Machine, RunMachineOptions } from './runMachine'
export { ControlMachine } from './controlMachine'
export { EntryMachine } from './entryMachine'
export type { EntryWire } from './entryMachine'
export type { ControlWire, EndpointCall, EngineReport, StageOrder } from './controlWire'
export { createMachineBasics } from './machineBasics'
export type { MachineBasics } from './machineBasics'
