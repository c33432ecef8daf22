import { isIPv4, isIPv6 } from 'node:net'

const PORT = /^(0|[1-9]\d{0,4})$/
const MAX_PORT = 65_535
const BRACKETED = /^\[([\da-fA-F:]+)\]$/

/**
 * Whether a text is an IP address and a port up to 65535, all in numbers, as `127.0.0.1:7000` or `[::1]:7000`.
 * @param minPort 0 for an address to listen on, where port 0 stands for any free port.
 */
export function isIpAddress(text: string, minPort = 1): boolean {
  const colon = text.lastIndexOf(':')
  if (colon < 0) return false
  const [host, port] = [text.slice(0, colon), text.slice(colon + 1)]
  if (!isIPv4(host) && !isIPv6(BRACKETED.exec(host)?.[1] ?? '')) return false
  return PORT.test(port) && Number(port) >= minPort && Number(port) <= MAX_PORT
}
