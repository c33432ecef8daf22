import { parse } from 'csv-parse/sync'
import { stringify } from 'csv-stringify/sync'
import type { EndpointRow, LinkRow, Pool, RowState, Table } from '@forkstage/types'
import { TableError, type TableFault } from './checkTable'
import { canonicalTable } from './digestTable'

/** Both sheets as CSV text. */
export interface TableSheets {
  endpoints: string
  links: string
}

const ENDPOINT_COLUMNS = [
  'endpoint',
  'address',
  'domain',
  'service',
  'pool',
  'models',
  'weight',
  'maxInFlight',
  'kvTokens',
  'promptTokensPerSecond',
  'state',
  'checksFences',
  'repeatable',
] as const
const LINK_COLUMNS = ['from', 'to', 'megabitsPerSecond'] as const
const POOLS: string[] = ['prefill', 'decode', 'plain'] satisfies Pool[]
const STATES: string[] = ['serve', 'drain', 'out'] satisfies RowState[]
const BOOLEANS = ['true', 'false', 'yes', 'no']

type Cells = Record<string, string>

/** Writes a table as CSV; models are separated by spaces. */
export function formatTableCsv(table: Table): TableSheets {
  const canonical = canonicalTable(table)
  const rows = canonical.endpoints.map((row) => ({ ...row, models: row.models.join(' ') }))
  const cast = { boolean: (value: boolean) => String(value) }
  return {
    endpoints: stringify(rows, { header: true, columns: [...ENDPOINT_COLUMNS], cast }),
    links: stringify(canonical.links, { header: true, columns: [...LINK_COLUMNS] }),
  }
}

/**
 * Reads a table from CSV.
 * @throws TableError naming every cell that cannot be read.
 */
export function parseTableCsv(sheets: TableSheets): Table {
  const faults: TableFault[] = []
  const endpointCells = readSheet(sheets.endpoints, 'endpoints', [...ENDPOINT_COLUMNS], faults)
  const linkCells = readSheet(sheets.links, 'links', [...LINK_COLUMNS], faults)
  const endpoints = endpointCells.map((cells) => readEndpoint(cells, faults))
  const links = linkCells.map((cells) => readLink(cells, faults))
  if (faults.length > 0) throw new TableError(faults)
  return { endpoints, links }
}

function readSheet(
  text: string,
  sheet: TableFault['sheet'],
  columns: string[],
  faults: TableFault[],
): Cells[] {
  const fault = (column: string, message: string) =>
    faults.push({ sheet, row: '(sheet)', column, fault: message })
  try {
    const records = parse(text, { columns: true, skip_empty_lines: true, trim: true, bom: true }) as Cells[]
    const found = Object.keys(records[0] ?? Object.fromEntries(columns.map((column) => [column, ''])))
    columns
      .filter((column) => !found.includes(column))
      .forEach((column) => fault(column, 'the column is missing'))
    found
      .filter((column) => !columns.includes(column))
      .forEach((column) => fault(column, 'the column is unknown'))
    return records
  } catch (error) {
    fault('(all)', `not CSV: ${(error as Error).message}`)
    return []
  }
}

function readEndpoint(cells: Cells, faults: TableFault[]): EndpointRow {
  const read = createCellReader('endpoints', cells.endpoint || '(no name)', cells, faults)
  return {
    endpoint: cells.endpoint ?? '',
    address: cells.address ?? '',
    domain: cells.domain ?? '',
    service: cells.service ?? '',
    pool: read.choice('pool', POOLS) as Pool,
    models: (cells.models ?? '').split(/\s+/).filter((model) => model !== ''),
    weight: read.number('weight'),
    maxInFlight: read.number('maxInFlight'),
    kvTokens: read.number('kvTokens'),
    promptTokensPerSecond: read.number('promptTokensPerSecond'),
    state: read.choice('state', STATES) as RowState,
    checksFences: ['true', 'yes'].includes(read.choice('checksFences', BOOLEANS)),
    repeatable: ['true', 'yes'].includes(read.choice('repeatable', BOOLEANS)),
  }
}

function readLink(cells: Cells, faults: TableFault[]): LinkRow {
  const read = createCellReader('links', `${cells.from}>${cells.to}`, cells, faults)
  return { from: cells.from ?? '', to: cells.to ?? '', megabitsPerSecond: read.number('megabitsPerSecond') }
}

function createCellReader(sheet: TableFault['sheet'], row: string, cells: Cells, faults: TableFault[]) {
  const fault = (column: string, message: string) => faults.push({ sheet, row, column, fault: message })
  return {
    number(column: string): number {
      const text = cells[column] ?? ''
      const value = Number(text)
      if (text === '' || !Number.isFinite(value)) fault(column, `"${text}" is not a number`)
      return value
    },
    choice(column: string, allowed: string[]): string {
      const text = cells[column] ?? ''
      if (!allowed.includes(text)) fault(column, `"${text}" is not one of ${allowed.join(', ')}`)
      return text
    },
  }
}
