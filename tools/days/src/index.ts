export { drawFaults, slowFaults } from './drawFaults'
export type { Fault } from './drawFaults'
export { dayOf } from './dayOf'
