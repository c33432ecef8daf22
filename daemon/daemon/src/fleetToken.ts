import type { FleetService } from './fleetService'
import { createToken } from './tokens'

/**
 * The container token of the fleet service, which uses all other components. It has a file of its own to
 * avoid a circular import.
 */
export const FLEET_TOKEN = createToken<FleetService>('fleet')
