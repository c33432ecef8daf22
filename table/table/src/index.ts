/** The operators' table. */
export { checkTable, TableError } from './checkTable'
export type { CheckTableOptions, TableFault } from './checkTable'
export { canonicalTable, digestTable, linkName } from './digestTable'
export { applyDelta, diffTables, formatDiff, isEmptyDelta } from './diffTables'
export { formatTableCsv, parseTableCsv } from './tableCsv'
export type { TableSheets } from './tableCsv'
