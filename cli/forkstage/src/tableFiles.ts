import { mkdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { formatTableCsv, parseTableCsv } from '@forkstage/table'
import type { Table } from '@forkstage/types'

const ENDPOINTS = 'endpoints.csv'
const LINKS = 'links.csv'
const BASE = 'base.json'

/** The version and digest of the table that a folder's sheets were exported from. */
export interface TableBase {
  version: number
  digest: string
}

/** Reads both sheets of a folder. @throws TableError */
export async function readTableFolder(folder: string): Promise<Table> {
  const [endpoints, links] = await Promise.all([
    readFile(join(folder, ENDPOINTS), 'utf8'),
    readFile(join(folder, LINKS), 'utf8'),
  ])
  return parseTableCsv({ endpoints, links })
}

/** Reads the version that the sheets were exported from; undefined if the folder names none. */
export async function readTableBase(folder: string): Promise<TableBase | undefined> {
  try {
    return JSON.parse(await readFile(join(folder, BASE), 'utf8')) as TableBase
  } catch {
    return undefined
  }
}

/** Writes both sheets and the version of their table. */
export async function writeTableFolder(folder: string, table: Table, base: TableBase): Promise<void> {
  const sheets = formatTableCsv(table)
  await mkdir(folder, { recursive: true })
  await writeFile(join(folder, ENDPOINTS), sheets.endpoints)
  await writeFile(join(folder, LINKS), sheets.links)
  await writeFile(join(folder, BASE), `${JSON.stringify(base)}\n`)
}
