import type { Argv } from 'yargs'
import type { HistoryEntry } from '@forkstage/control'
import { checkTable, digestTable, formatDiff, TableError } from '@forkstage/table'
import type { VersionedTable } from '@forkstage/types'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print, printTable } from '../print'
import { readTableBase, readTableFolder, writeTableFolder } from '../tableFiles'

interface FolderArguments extends BoxArguments {
  folder: string
}

interface HistoryArguments extends BoxArguments {
  limit: number
}

const withFolder = (argv: Argv) =>
  argv.positional('folder', {
    type: 'string',
    demandOption: true,
    describe: 'a folder with endpoints.csv and links.csv',
  })

/** `forkstage table show`. */
export const tableShowCommand: Command<BoxArguments> = {
  command: 'table show',
  help: 'Show the table in force on a box',
  options: (argv) =>
    withBox(argv).example('$0 table show --box 127.0.0.1:7101 --token …', 'one row an endpoint'),
  async handler(args) {
    const { version, digest, table } = await callBox<VersionedTable>(args, '/v1/table')
    if (args.json) return done(JSON.stringify({ version, digest, table }, null, 2))
    print(`version ${version}  digest ${digest.slice(0, 12)}`)
    const rows = table.endpoints.map((row) => [
      row.endpoint,
      row.service,
      row.pool,
      row.domain,
      row.address,
      row.weight,
      row.maxInFlight,
      row.state,
    ])
    printTable(['endpoint', 'service', 'pool', 'domain', 'address', 'weight', 'maxInFlight', 'state'], rows)
    return EXIT.ok
  },
}

/** `forkstage table export`. */
export const tableExportCommand: Command<FolderArguments> = {
  command: 'table export <folder>',
  help: 'Write the table in force as CSV, to be edited and confirmed',
  options: (argv) =>
    withFolder(withBox(argv)).example(
      '$0 table export edit/',
      'writes endpoints.csv, links.csv and the base version',
    ),
  async handler(args) {
    const { version, digest, table } = await callBox<VersionedTable>(args, '/v1/table')
    await writeTableFolder(args.folder, table, { version, digest })
    return done(`${args.folder}: version ${version}, ${table.endpoints.length} endpoints`)
  },
}

/** `forkstage table check`. */
export const tableCheckCommand: Command<FolderArguments> = {
  command: 'table check <folder>',
  help: 'Check a table whole and name every fault by row and column',
  options: (argv) => withFolder(argv).example('$0 table check edit/', 'needs no running box'),
  async handler({ folder }) {
    const table = await readTableFolder(folder)
    const faults = checkTable(table, { services: new Map() })
    if (faults.length > 0) throw new TableError(faults)
    return done(`${folder}: no faults, digest ${digestTable(table).slice(0, 12)}`)
  },
}

/** `forkstage table diff`. */
export const tableDiffCommand: Command<FolderArguments> = {
  command: 'table diff <folder>',
  help: 'Show what confirming a folder would change',
  options: (argv) => withFolder(withBox(argv)).example('$0 table diff edit/', '+ new, - gone, ~ changed'),
  async handler(args) {
    const [table, current] = await Promise.all([
      readTableFolder(args.folder),
      callBox<VersionedTable>(args, '/v1/table'),
    ])
    const base = await readTableBase(args.folder)
    if (base !== undefined && base.version !== current.version) {
      print(`the folder was made from version ${base.version}; version ${current.version} is in force`)
    }
    const lines = formatDiff(current.table, table)
    return done(args.json ? JSON.stringify(lines) : lines.length === 0 ? 'no difference' : lines.join('\n'))
  },
}

/** `forkstage table history`. */
export const tableHistoryCommand: Command<HistoryArguments> = {
  command: 'table history',
  help: 'Show who confirmed which version when',
  options: (argv) =>
    withBox(argv).option('limit', { type: 'number', default: 20, describe: 'versions, newest first' }),
  async handler(args) {
    const history = await callBox<Omit<HistoryEntry, 'delta'>[]>(
      args,
      `/v1/table/history?limit=${args.limit}`,
    )
    if (args.json) return done(JSON.stringify(history, null, 2))
    const rows = history.map(({ version, at, who, digest, confirmId }) => [
      version,
      new Date(at).toISOString(),
      who,
      digest.slice(0, 12),
      confirmId,
    ])
    printTable(['version', 'confirmed', 'who', 'digest', 'confirm id'], rows)
    return EXIT.ok
  },
}

function done(text: string): number {
  print(text)
  return EXIT.ok
}
