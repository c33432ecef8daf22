import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { createSeededRandom } from '@forkstage/clock'
import { createDay, findEngineService } from './createDay'
import { createVariant } from './createVariant'
import { drawFaults, slowFaults, type Fault } from './drawFaults'

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run days --')
    .usage('$0 FILE: generates days from a deployment file')
    .option('out', { type: 'string', demandOption: true, describe: 'output folder' })
    .option('kinds', { type: 'string', default: '', describe: 'kinds of faults, separated by commas' })
    .option('slow', {
      type: 'string',
      describe: 'SHARExFACTOR: slows a share of the engines; no other faults',
    })
    .option('variant', {
      type: 'string',
      describe: 'ENGINES,MEMORY,TIME: writes a deployment file changed by these factors',
    })
    .option('count', { type: 'number', default: 1, describe: 'number of days' })
    .option('seed', { type: 'number', default: 1 })
    .demandCommand(1)
    .strict()
    .parse()
  const deployment = readFileSync(String(args._[0]), 'utf8')
  mkdirSync(args.out, { recursive: true })
  const write = (name: string, faults: Fault[]) => {
    const path = join(args.out, `${name}.toml`)
    writeFileSync(path, createDay(deployment, name, faults))
    process.stdout.write(`${path}\n`)
  }
  if (args.variant !== undefined) {
    const [engines, memory, time] = args.variant.split(',').map(Number)
    const path = join(args.out, `variant-${args.variant}.toml`)
    writeFileSync(path, createVariant(deployment, { engines, memory, time }))
    return void process.stdout.write(`${path}\n`)
  }
  if (args.slow !== undefined) {
    const [share = 0, factor = 1] = args.slow.split('x').map(Number)
    return write(`slow-${args.slow}`, slowFaults(findEngineService(deployment), share, factor))
  }
  const kinds = args.kinds.split(',').filter((kind) => kind !== '')
  for (let index = 0; index < args.count; index += 1)
    write(`own-${args.seed}-${index}`, drawFaults(kinds, createSeededRandom(args.seed * 1_000 + index)))
}

main().catch((error: unknown) => {
  process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exit(1)
})
