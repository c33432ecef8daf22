import { readFile } from 'node:fs/promises'
import type { Argv } from 'yargs'
import { EXIT, type Command } from '../cliTypes'
import { findLosses, type LossRow } from '../findLosses'
import { print } from '../print'
import { readLogLines } from '../traceRequest'

interface LossesArguments {
  logs: string[]
  window: number
  target: number
  json: boolean
}

const SECOND_MS = 1_000

/** `forkstage losses`: counts requests that were not answered well, by time and cause, from log files alone. */
export const lossesCommand: Command<LossesArguments> = {
  command: 'losses <logs..>',
  help: 'Count requests that were not answered well, by time and cause',
  options: (argv: Argv) =>
    argv
      .positional('logs', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'log files, in any order',
      })
      .option('window', { type: 'number', default: 2, describe: 'seconds in one row' })
      .option('target', {
        type: 'number',
        default: 900,
        describe: 'maximum milliseconds to the first event of an answer in time',
      })
      .option('json', { type: 'boolean', default: false, describe: 'print the rows as JSON' })
      .example(
        '$0 losses entry-*.log control-*.log',
        'engines, leader changes and causes, two seconds per row',
      ),
  async handler({ logs, window, target, json }) {
    const texts = await Promise.all(logs.map((path) => readFile(path, 'utf8')))
    const options = { windowMs: window * SECOND_MS, targetMs: target }
    const rows = findLosses(texts.flatMap(readLogLines), options)
    if (json) print(JSON.stringify(rows, null, 2))
    else rows.forEach((row) => print(describeRow(row)))
    return rows.length > 0 ? EXIT.ok : EXIT.failed
  },
}

function describeRow({ fromMs, answered, causes, readInVain, engines, leaders, alone }: LossRow): string {
  const parts = Object.entries(causes).map(([cause, count]) => `${cause} ${count}`)
  if (readInVain > 0) parts.push(`wasted prefills ${readInVain}`)
  if (alone > 0) parts.push(`placed without the leader ${alone}`)
  if (leaders > 0) parts.push('new leader')
  const engineSummary = engines === undefined ? '' : `${engines.decoders} decode, ${engines.readers} prefill`
  const time = `${(fromMs / SECOND_MS).toFixed(0)} s`.padStart(7)
  return `${time}  ${String(answered).padStart(5)} answered  ${engineSummary.padEnd(22)} ${parts.join(', ')}`.trimEnd()
}
