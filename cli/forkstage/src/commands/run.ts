import { readFile } from 'node:fs/promises'
import type { Argv } from 'yargs'
import { BoxDaemon } from '@forkstage/daemon'
import { SignalKeeper } from '@forkstage/fleet'
import { parseSettings } from '@forkstage/settings'
import { EXIT, type Command } from '../cliTypes'

interface RunArguments {
  settings: string
}

/** `forkstage run`: runs the daemon of one box. */
export const runCommand: Command<RunArguments> = {
  command: 'run',
  help: 'Run the daemon of this box until it is stopped',
  options: (argv: Argv) =>
    argv
      .option('settings', { type: 'string', demandOption: true, describe: 'the settings of this box (TOML)' })
      .example(
        '$0 run --settings box.toml',
        'SIGTERM starts a planned stop, a second one aborts running requests; SIGHUP changes nothing',
      ),
  handler: runBox,
}

async function runBox({ settings: path }: RunArguments): Promise<number> {
  const signals = new SignalKeeper(process)
  // The settings of a box apply from its next start on.
  signals.on('SIGHUP', () => undefined)
  const settings = parseSettings(await readFile(path, 'utf8'), { source: path })
  const daemon = new BoxDaemon(settings)
  await daemon.start()
  const cut = await new Promise<number>((resolve) => {
    const stop = (signal: string) => void daemon.stop(signal).then(resolve)
    signals.on('SIGTERM', stop)
    signals.on('SIGINT', stop)
    void daemon.stopped.then(resolve)
  })
  return cut > 0 ? EXIT.cut : EXIT.ok
}
