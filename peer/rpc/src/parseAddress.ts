import type { Address } from '@forkstage/types'

/** Splits `ip:port` into host and port; an IPv6 address is in brackets. */
export function parseAddress(address: Address): { host: string; port: number } {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colon + 1)) }
}
