import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runSoak, type SoakReport } from './runSoak'

function print(report: SoakReport): void {
  const write = (text: string) => process.stdout.write(`${text}\n`)
  report.faults.forEach((fault) => write(`fault: ${fault}`))
  write(
    `${report.site}, seed ${report.seed}: ${report.answered} of ${report.chats} chats answered, ${report.saves} saves, ${report.accepted} tables accepted`,
  )
  report.violations.forEach((fault) => write(`BROKEN: ${fault}`))
  write(
    report.violations.length === 0
      ? 'verdict: every promise held'
      : `verdict: ${report.violations.length} broken`,
  )
}

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run soak --')
    .option('minutes', { type: 'number', default: 2 })
    .option('seed', { type: 'number', default: 1 })
    .option('site', { choices: ['addis', 'colombo', 'both'] as const, default: 'both' as const })
    .option('port-base', { type: 'number', default: 28_400 })
    .option('keep', { type: 'boolean', default: false, describe: 'keep settings, data and logs' })
    .strict()
    .parse()
  const sites = args.site === 'both' ? (['addis', 'colombo'] as const) : [args.site]
  let violations = 0
  for (const site of sites) {
    const report = await runSoak({
      site,
      minutes: args.minutes,
      seed: args.seed,
      portBase: args.portBase,
      keep: args.keep,
    })
    print(report)
    violations += report.violations.length
  }
  process.exit(violations === 0 ? 0 : 1)
}

main().catch((error: unknown) => {
  process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exit(1)
})
