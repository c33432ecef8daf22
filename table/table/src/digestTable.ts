import { createHash } from 'node:crypto'
import type { EndpointRow, LinkRow, Table } from '@forkstage/types'

/** Returns the name of a link: `from>to`. */
export function linkName(link: Pick<LinkRow, 'from' | 'to'>): string {
  return `${link.from}>${link.to}`
}

/** Returns the table with rows, models and fields in a fixed order, so that equal tables serialize equally. */
export function canonicalTable(table: Table): Table {
  const endpoints = table.endpoints.map(canonicalRow).sort((a, b) => compare(a.endpoint, b.endpoint))
  const links = [...table.links].sort((a, b) => compare(linkName(a), linkName(b)))
  return {
    endpoints,
    links: links.map(({ from, to, megabitsPerSecond }) => ({ from, to, megabitsPerSecond })),
  }
}

/** Returns the SHA-256 digest of the table's canonical form, in hex. */
export function digestTable(table: Table): string {
  return createHash('sha256')
    .update(JSON.stringify(canonicalTable(table)))
    .digest('hex')
}

function canonicalRow(row: EndpointRow): EndpointRow {
  return {
    endpoint: row.endpoint,
    address: row.address,
    domain: row.domain,
    service: row.service,
    pool: row.pool,
    models: [...row.models].sort(),
    weight: row.weight,
    maxInFlight: row.maxInFlight,
    kvTokens: row.kvTokens,
    promptTokensPerSecond: row.promptTokensPerSecond,
    state: row.state,
    checksFences: row.checksFences,
    repeatable: row.repeatable,
  }
}

function compare(left: string, right: string): number {
  return left < right ? -1 : left > right ? 1 : 0
}
