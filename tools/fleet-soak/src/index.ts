/** A soak test of entries and control machines as separate processes. */
export { runFleetSoak } from './runFleetSoak'
export type { FleetSoakOptions, FleetSoakReport } from './runFleetSoak'
export { planFleetFaults } from './fleetFaults'
export type { FleetFault } from './fleetFaults'
