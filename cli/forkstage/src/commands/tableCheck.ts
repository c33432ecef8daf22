import { checkTable, digestTable, TableError } from '@forkstage/table'
import { EXIT, type Command } from '../cliTypes'
import { withFolder, type FolderArguments } from '../folderArgument'
import { print } from '../print'
import { readTableFolder } from '../tableFiles'

/** `forkstage table check`. */
export const tableCheckCommand: Command<FolderArguments> = {
  command: 'table check <folder>',
  help: 'Check a table and report all faults by row and column',
  options: (argv) => withFolder(argv).example('$0 table check edit/', 'needs no running box'),
  async handler({ folder }) {
    const table = await readTableFolder(folder)
    const faults = checkTable(table, { services: new Map() })
    if (faults.length > 0) throw new TableError(faults)
    print(`${folder}: no faults, digest ${digestTable(table).slice(0, 12)}`)
    return EXIT.ok
  },
}
