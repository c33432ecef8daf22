/** A soak of entries and control machines. */
export { runFleetSoak } from './runFleetSoak'
export type { FleetSoakOptions, FleetSoakReport } from './runFleetSoak'
export { planFleetFaults } from './fleetFaults'
export type { FleetFault } from './fleetFaults'
