import type { VersionedTable } from '@forkstage/types'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print, printTable } from '../print'

/** `forkstage table show`. */
export const tableShowCommand: Command<BoxArguments> = {
  command: 'table show',
  help: 'Show the table in force on a box',
  options: (argv) =>
    withBox(argv).example('$0 table show --box 127.0.0.1:7101 --token …', 'one row per endpoint'),
  async handler(args) {
    const { version, digest, table } = await callBox<VersionedTable>(args, '/v1/table')
    if (args.json) {
      print(JSON.stringify({ version, digest, table }, null, 2))
      return EXIT.ok
    }
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
