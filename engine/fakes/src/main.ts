import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { startEngine } from './startEngine'
import { startPlainService } from './startPlainService'
import { startPlatformList } from './startPlatformList'

/** Command line of the fakes, such as `fakes engine --port 9001,9002`: one fake per port, all in this process. */
async function main(): Promise<void> {
  const ports = { type: 'string', demandOption: true, describe: 'ports, separated by commas' } as const
  const profile = { type: 'string', default: '{}', describe: 'engine profile as JSON' } as const
  await yargs(hideBin(process.argv))
    .command('engine', 'model engines', { port: ports, profile }, async (args) => {
      for (const port of args.port.split(','))
        await startEngine({ port: Number(port), profile: JSON.parse(args.profile) })
      process.stdout.write('ready\n')
    })
    .command('plain', 'plain services', { port: ports }, async (args) => {
      for (const port of args.port.split(',')) await startPlainService({ port: Number(port) })
      process.stdout.write('ready\n')
    })
    .command(
      'platform',
      'list of live and leaving boxes',
      { port: ports, lag: { type: 'number', default: 500 } },
      async (args) => {
        await startPlatformList({ port: Number(args.port), lagMs: args.lag })
        process.stdout.write('ready\n')
      },
    )
    .demandCommand(1)
    .strict()
    .parse()
}

process.on('SIGTERM', () => process.exit(0))
void main()
