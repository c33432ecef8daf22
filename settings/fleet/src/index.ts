/** Settings of a machine in a self-registering deployment. */
export { fleetSchema } from './fleetSchema'
export type { FleetSettings } from './fleetSchema'
export { parseFleetSettings } from './parseFleetSettings'
export type { ParseFleetSettingsOptions } from './parseFleetSettings'
export { seedAddresses } from './seedAddresses'
