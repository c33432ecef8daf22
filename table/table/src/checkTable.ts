import { isIpAddress, type EndpointRow, type Table } from '@forkstage/types'
import { ForkstageError } from '@forkstage/error'

/** A fault in a table, by sheet, row and column. */
export interface TableFault {
  sheet: 'endpoints' | 'links'
  /** The endpoint's name or `from>to`; `(sheet)` if the fault concerns no single row. */
  row: string
  column: string
  fault: string
}

/** Raised when a table is invalid; lists every fault. */
export class TableError extends ForkstageError {
  readonly faults: TableFault[]

  constructor(faults: TableFault[]) {
    const lines = faults.map(
      (fault) => `  ${fault.sheet}, row ${fault.row}, column ${fault.column}: ${fault.fault}`,
    )
    super(
      'FORKSTAGE_TABLE_FAULTS',
      [`The table has ${faults.length} fault(s):`, ...lines].join('\n'),
      'Fix each cell named above and check again with "forkstage table check".',
      { step: 'table check' },
    )
    this.faults = faults
  }
}

/** Options of {@link checkTable}. */
export interface CheckTableOptions {
  /** The service of each known model; other models are reported. If the map is empty, any model is accepted. */
  services: Map<string, string>
}

const LIMIT_COLUMNS = ['weight', 'maxInFlight', 'kvTokens', 'promptTokensPerSecond'] as const

/** Returns all faults of a table; empty if the table is valid. */
export function checkTable(table: Table, options: CheckTableOptions): TableFault[] {
  const rowFaults = table.endpoints.flatMap((row) => checkRow(row, options))
  return [...rowFaults, ...checkDuplicates(table), ...checkPools(table), ...checkLinks(table)]
}

function checkRow(row: EndpointRow, options: CheckTableOptions): TableFault[] {
  const faults: TableFault[] = []
  const fault = (column: string, text: string) =>
    faults.push({ sheet: 'endpoints', row: row.endpoint || '(no name)', column, fault: text })
  if (row.endpoint === '') fault('endpoint', 'is empty')
  if (row.service === '') fault('service', 'is empty')
  if (row.domain === '') fault('domain', 'is empty')
  if (!isIpAddress(row.address)) fault('address', `"${row.address}" is not an IP number and a port`)
  for (const column of LIMIT_COLUMNS) {
    if (!Number.isFinite(row[column]) || row[column] < 0)
      fault(column, `${row[column]} is not a number of 0 or more`)
  }
  if (row.maxInFlight === 0 && row.state === 'serve')
    fault('maxInFlight', 'must be above 0 for an endpoint in state "serve"')
  if (row.pool === 'plain' && row.models.length > 0) fault('models', 'a plain service serves no models')
  if (row.pool !== 'plain' && row.models.length === 0) fault('models', 'an engine serves at least one model')
  if (row.pool !== 'plain' && row.kvTokens === 0) fault('kvTokens', 'an engine needs KV memory')
  for (const model of row.models) {
    const service = options.services.get(model)
    if (options.services.size > 0 && service === undefined) fault('models', `unknown model "${model}"`)
    if (service !== undefined && service !== row.service)
      fault('service', `model "${model}" belongs to "${service}"`)
  }
  return faults
}

function checkDuplicates(table: Table): TableFault[] {
  const faults: TableFault[] = []
  for (const column of ['endpoint', 'address'] as const) {
    const seen = new Set<string>()
    for (const row of table.endpoints) {
      if (seen.has(row[column])) {
        faults.push({
          sheet: 'endpoints',
          row: row.endpoint,
          column,
          fault: `"${row[column]}" is not unique`,
        })
      }
      seen.add(row[column])
    }
  }
  return faults
}

/** Each model needs an endpoint with a weight above 0 for prefill and for decode. */
function checkPools(table: Table): TableFault[] {
  const models = new Set(table.endpoints.flatMap((row) => row.models))
  const faults: TableFault[] = []
  for (const model of models) {
    for (const pool of ['prefill', 'decode'] as const) {
      const rows = table.endpoints.filter((row) => row.pool === pool && row.models.includes(model))
      const fault = (column: string, text: string) =>
        faults.push({ sheet: 'endpoints', row: '(sheet)', column, fault: `model "${model}" ${text}` })
      if (rows.length === 0) fault('pool', `has no ${pool} endpoint`)
      else if (!rows.some((row) => row.weight > 0))
        fault('weight', `has no ${pool} endpoint with a weight above 0`)
    }
  }
  return faults
}

function checkLinks(table: Table): TableFault[] {
  const domains = new Set(table.endpoints.map((row) => row.domain))
  const faults: TableFault[] = []
  const seen = new Set<string>()
  for (const link of table.links) {
    const row = `${link.from}>${link.to}`
    const fault = (column: string, text: string) => faults.push({ sheet: 'links', row, column, fault: text })
    if (!domains.has(link.from)) fault('from', `no endpoint is in failure domain "${link.from}"`)
    if (!domains.has(link.to)) fault('to', `no endpoint is in failure domain "${link.to}"`)
    if (!(link.megabitsPerSecond > 0)) fault('megabitsPerSecond', `${link.megabitsPerSecond} is not above 0`)
    if (seen.has(row)) fault('from', 'the link is not unique')
    seen.add(row)
  }
  return faults
}
