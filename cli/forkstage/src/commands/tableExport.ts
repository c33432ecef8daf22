import type { VersionedTable } from '@forkstage/types'
import { EXIT, type Command } from '../cliTypes'
import { withFolder, type FolderArguments } from '../folderArgument'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'
import { writeTableFolder } from '../tableFiles'

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
    print(`${args.folder}: version ${version}, ${table.endpoints.length} endpoints`)
    return EXIT.ok
  },
}
