import { isIPv4 } from 'node:net'

const PORT = /^[1-9]\d{0,4}$/
const MAX_PORT = 65_535

/** Whether a text is an IPv4 address and a port from 1 to 65535, all in digits, as `127.0.0.1:7000`. */
export function isIpv4Address(text: string): boolean {
  const colon = text.lastIndexOf(':')
  if (colon < 0 || !isIPv4(text.slice(0, colon))) return false
  const port = text.slice(colon + 1)
  return PORT.test(port) && Number(port) <= MAX_PORT
}
