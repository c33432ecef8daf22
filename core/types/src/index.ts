/** Types shared by more than one package, and the check of an address from outside. */
export { isIpAddress } from './isIpAddress'
export { isIpv4Address } from './isIpv4Address'
export type * from './names'
export type * from './table'
