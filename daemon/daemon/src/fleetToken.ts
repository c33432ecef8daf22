import type { FleetService } from './fleetService'
import { createToken } from './tokens'

/** The name of the part that uses all others; apart from their names, so that no file needs itself. */
export const FLEET_TOKEN = createToken<FleetService>('fleet')
