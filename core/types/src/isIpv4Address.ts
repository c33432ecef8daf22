import { isIPv4 } from 'node:net'

const PORT = /^(0|[1-9]\d{0,4})$/
const MAX_PORT = 65_535

/**
 * Whether a text is an IPv4 address and a port up to 65535, all in digits, as `127.0.0.1:7000`.
 * @param minPort 0 for an address to listen on, where port 0 stands for any free port.
 */
export function isIpv4Address(text: string, minPort = 1): boolean {
  const colon = text.lastIndexOf(':')
  if (colon < 0 || !isIPv4(text.slice(0, colon))) return false
  const port = text.slice(colon + 1)
  return PORT.test(port) && Number(port) >= minPort && Number(port) <= MAX_PORT
}
