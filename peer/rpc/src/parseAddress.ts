import type { Address } from '@forkstage/types'

/** Splits `ip:port`; an IPv6 number stands in brackets. */
export function parseAddress(address: Address): { host: string; port: number } {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colon + 1)) }
}
