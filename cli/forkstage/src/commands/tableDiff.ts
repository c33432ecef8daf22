import { formatDiff } from '@forkstage/table'
import type { VersionedTable } from '@forkstage/types'
import { EXIT, type Command } from '../cliTypes'
import { withFolder, type FolderArguments } from '../folderArgument'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'
import { readTableBase, readTableFolder } from '../tableFiles'

/** `forkstage table diff`. */
export const tableDiffCommand: Command<FolderArguments> = {
  command: 'table diff <folder>',
  help: 'Show what confirming a folder would change',
  options: (argv) =>
    withFolder(withBox(argv)).example('$0 table diff edit/', '+ added, - removed, ~ changed'),
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
    print(args.json ? JSON.stringify(lines) : lines.length === 0 ? 'no difference' : lines.join('\n'))
    return EXIT.ok
  },
}
