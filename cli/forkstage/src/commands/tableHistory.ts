import type { HistoryEntry } from '@forkstage/control'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print, printTable } from '../print'

interface HistoryArguments extends BoxArguments {
  limit: number
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
    if (args.json) {
      print(JSON.stringify(history, null, 2))
      return EXIT.ok
    }
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
