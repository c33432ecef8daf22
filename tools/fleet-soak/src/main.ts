import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { processNetwork } from './processNetwork'
import { runFleetSoak } from './runFleetSoak'

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run soak:fleet --')
    .option('minutes', { type: 'number', default: 2 })
    .option('seed', { type: 'number', default: 1 })
    .option('network', {
      type: 'string',
      default: processNetwork(),
      describe: 'first three numbers of the loopback addresses',
    })
    .option('keep', { type: 'boolean', default: false, describe: 'keep settings, data and logs' })
    .option('fatalMs', {
      type: 'number',
      default: 300,
      describe: 'milliseconds between poison requests',
    })
    .option('fatalKinds', { type: 'number', default: 4, describe: 'number of kinds of poison requests' })
    .option('unframed', {
      type: 'number',
      default: 0,
      describe: 'share of streams and small plain answers without a length',
    })
    .option('abandoned', {
      type: 'number',
      default: 0,
      describe: 'share of evacuations in which a withdrawal is abandoned and the evacuation sent again',
    })
    .option('kept', { type: 'number', default: 0, describe: 'callers that keep their connections' })
    .option('signals', {
      type: 'number',
      default: 0,
      describe: 'how much planned work there is (SIGHUP, new settings, stops in turn), 0 to 1',
    })
    .option('bodies', {
      type: 'number',
      default: 0,
      describe: 'requests a second with bodies of sizes up to the limit',
    })
    .strict()
    .parse()
  const report = await runFleetSoak(args)
  const write = (text: string) => process.stdout.write(`${text}\n`)
  report.faults.forEach((fault) => write(`fault: ${fault}`))
  write(
    `seed ${report.seed}: ${report.answered} of ${report.calls} calls answered, ${report.acknowledged} sheets and ${report.evacuations} evacuations acknowledged, ${report.ended} endpoints crashed under poison requests, ${report.longCompleted} of ${report.longBegun} long answers that began were completed`,
  )
  const { begun, resumed } = report.shares
  write(
    `streams of two versions in calm times: ${begun.served} of ${begun.attempts} new ones began, ${resumed.served} of ${resumed.attempts} resumed ones went on`,
  )
  if (args.kept > 0) write(report.keptSummary)
  if (args.keep) write(`kept in ${report.folder}`)
  report.violations.forEach((fault) => write(`BROKEN: ${fault}`))
  write(
    report.violations.length === 0
      ? 'verdict: every rule held'
      : `verdict: ${report.violations.length} broken`,
  )
  process.exit(report.violations.length === 0 ? 0 : 1)
}

main().catch((error: unknown) => {
  process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exit(1)
})
