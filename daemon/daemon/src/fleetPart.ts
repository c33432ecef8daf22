import type { FleetService } from './fleetService'
import { token } from './parts'

/** The name of the part that uses all others; apart from their names, so that no file needs itself. */
export const FLEET = token<FleetService>('fleet')
