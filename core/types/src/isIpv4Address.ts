import { isIpAddress } from './isIpAddress'

/** Whether a text is an address as {@link isIpAddress} accepts it, with an IPv4 number. */
export function isIpv4Address(text: string, minPort = 1): boolean {
  return !text.startsWith('[') && isIpAddress(text, minPort)
}
