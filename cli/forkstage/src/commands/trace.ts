import { readFile } from 'node:fs/promises'
import type { Argv } from 'yargs'
import { EXIT, type Command } from '../cliTypes'
import { print } from '../print'
import { readLogLines, traceRequest, type LogLine } from '../traceRequest'

interface TraceArguments {
  request: string
  logs: string[]
  json: boolean
}

/** `forkstage trace`: explains a request from log files alone. */
export const traceCommand: Command<TraceArguments> = {
  command: 'trace <request> <logs..>',
  help: 'Explain a request from the log files of any machines',
  options: (argv: Argv) =>
    argv
      .positional('request', { type: 'string', demandOption: true, describe: 'the id that the caller sent' })
      .positional('logs', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'log files, in any order',
      })
      .option('json', { type: 'boolean', default: false, describe: 'print the lines as JSON' })
      .example(
        '$0 trace 9c41d07be2a35f68 entry-1.log control-*.log',
        'its decisions and attempts, and other events of that time',
      ),
  async handler({ request, logs, json }) {
    const texts = await Promise.all(logs.map((path) => readFile(path, 'utf8')))
    const lines = traceRequest(texts.flatMap(readLogLines), request)
    if (json) print(JSON.stringify(lines, null, 2))
    else printTrace(request, lines)
    return lines.length > 0 ? EXIT.ok : EXIT.failed
  },
}

function printTrace(request: string, lines: LogLine[]): void {
  if (lines.length === 0)
    return print(`no line names ${request}; "log.omitted" shows whether lines were omitted`)
  const first = lines[0]!.time
  for (const { time, box, event, fields } of lines) {
    const rest = { ...fields }
    delete rest.request
    print(
      `${`+${time - first} ms`.padStart(10)}  ${box.padEnd(18)} ${event.padEnd(20)} ${JSON.stringify(rest)}`,
    )
  }
}
