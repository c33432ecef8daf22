import type { EndpointRow, Table, TableDelta } from '@forkstage/types'
import { canonicalTable, linkName } from './digestTable'

/** Returns the changes that turn one table into another. */
export function diffTables(from: Table, to: Table): TableDelta {
  const before = canonicalTable(from)
  const after = canonicalTable(to)
  const oldRows = new Map(before.endpoints.map((row) => [row.endpoint, JSON.stringify(row)]))
  const oldLinks = new Map(before.links.map((link) => [linkName(link), JSON.stringify(link)]))
  const newRows = new Set(after.endpoints.map((row) => row.endpoint))
  const newLinks = new Set(after.links.map(linkName))
  return {
    upsertEndpoints: after.endpoints.filter((row) => oldRows.get(row.endpoint) !== JSON.stringify(row)),
    removeEndpoints: [...oldRows.keys()].filter((name) => !newRows.has(name)),
    upsertLinks: after.links.filter((link) => oldLinks.get(linkName(link)) !== JSON.stringify(link)),
    removeLinks: [...oldLinks.keys()].filter((name) => !newLinks.has(name)),
  }
}

/** Returns a table with changes applied; does not modify the given table. */
export function applyDelta(table: Table, delta: TableDelta): Table {
  const rows = new Map(table.endpoints.map((row) => [row.endpoint, row]))
  for (const name of delta.removeEndpoints) rows.delete(name)
  for (const row of delta.upsertEndpoints) rows.set(row.endpoint, row)
  const links = new Map(table.links.map((link) => [linkName(link), link]))
  for (const name of delta.removeLinks) links.delete(name)
  for (const link of delta.upsertLinks) links.set(linkName(link), link)
  return { endpoints: [...rows.values()], links: [...links.values()] }
}

/** Returns whether a delta contains no change. */
export function isEmptyDelta(delta: TableDelta): boolean {
  return Object.values(delta).every((list) => list.length === 0)
}

/** Formats the difference of two tables for a terminal: `+` added, `-` removed, `~` changed with old and new value. */
export function formatDiff(from: Table, to: Table): string[] {
  const delta = diffTables(from, to)
  const oldRows = new Map(from.endpoints.map((row) => [row.endpoint, row]))
  const lines = delta.removeEndpoints.map((name) => `- ${name}`)
  for (const row of delta.upsertEndpoints) {
    const old = oldRows.get(row.endpoint)
    if (old === undefined) lines.push(`+ ${row.endpoint} ${row.service}/${row.pool} weight=${row.weight}`)
    else lines.push(`~ ${row.endpoint} ${formatCells(old, row)}`)
  }
  lines.push(...delta.removeLinks.map((name) => `- link ${name}`))
  lines.push(
    ...delta.upsertLinks.map(
      (link) => `~ link ${linkName(link)} megabitsPerSecond=${link.megabitsPerSecond}`,
    ),
  )
  return lines
}

function formatCells(old: EndpointRow, row: EndpointRow): string {
  const columns = Object.keys(row) as (keyof EndpointRow)[]
  const changed = columns.filter((column) => String(old[column]) !== String(row[column]))
  return changed.map((column) => `${column}: ${old[column]} -> ${row[column]}`).join(', ')
}
