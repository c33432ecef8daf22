import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runJournalExperiment } from './journalExperiment'
import { SHAPES } from './memoryCalls'
import { runMemoryExperiment } from './memoryExperiment'
import { runPlaceCallExperiment } from './placeCallExperiment'
import { runPlaceExperiment } from './placeExperiment'
import { runPolicyExperiment, type FaultName } from './policyExperiment'
import { runCrashExperiment } from './crashExperiment'
import { runLimitExperiment } from './limitExperiment'
import { runQuotaExperiment } from './quotaExperiment'
import { runRelayExperiment } from './relayExperiment'
import { runSlopesExperiment, SLOPE_PARTS } from './slopesExperiment'
import { runStartExperiment } from './startExperiment'
import { runTableExperiment } from './tableExperiment'
import { runTunnelExperiment } from './tunnelExperiment'

const list = (text: string) => text.split(',').filter((part) => part !== '')

async function main(): Promise<void> {
  await yargs(hideBin(process.argv))
    .scriptName('npm run bench --')
    .command(
      'policy',
      'goodput and wasted prefill compared with the baselines',
      (argv) =>
        argv
          .option('mix', { choices: ['addis', 'colombo'] as const, default: 'addis' as const })
          .option('policies', {
            type: 'string',
            default: 'forkstage,round-robin,least-in-flight,prefix-affinity',
          })
          .option('loads', { type: 'string', default: '0.3,0.6,0.8,1,1.3,1.6,2' })
          .option('faults', { type: 'string', default: 'none' })
          .option('without', {
            type: 'string',
            default: '',
            describe: 'policy parts to switch off, one run each',
          })
          .option('seconds', { type: 'number', default: 15 })
          .option('seed', { type: 'number', default: 1 })
          .option('name', { type: 'string', default: 'policy', describe: 'name of the JSON and SVG files' }),
      async (args) => {
        await runPolicyExperiment({
          mix: args.mix,
          policies: list(args.policies),
          loads: list(args.loads).map(Number),
          faults: list(args.faults) as FaultName[],
          withoutParts: list(args.without),
          seconds: args.seconds,
          seed: args.seed,
          name: args.name,
        })
      },
    )
    .command(
      'memory',
      'long answers on scarce memory: variants of the allocator',
      (argv) =>
        argv
          .option('rates', { type: 'string', default: '8,11,13' })
          .option('decode', { type: 'number', default: 4 })
          .option('prefill', { type: 'number', default: 1 })
          .option('seeds', { type: 'number', default: 10 })
          .option('shape', { choices: Object.keys(SHAPES), default: 'small' })
          .option('slow', { type: 'string', default: '0x1', describe: 'SHARExTIMES of the engines' })
          .option('variants', { type: 'string', default: '', describe: 'names of variants, or all' }),
      ({ rates, decode, prefill, seeds, shape, variants, slow }) =>
        runMemoryExperiment({
          rates: list(rates).map(Number),
          decode,
          prefill,
          seeds,
          shape,
          variants: list(variants),
          slow: { share: Number(slow.split('x')[0]), times: Number(slow.split('x')[1]) },
        }),
    )
    .command('tunnel', 'answers that another box carries', {}, () => runTunnelExperiment())
    .command('place', 'the placement decision alone', {}, () => runPlaceExperiment())
    .command('place-calls', "the leader's checks of the placements that entries report", {}, () =>
      runPlaceCallExperiment(),
    )
    .command('crashes', 'cost of the crash tracker', {}, () => runCrashExperiment())
    .command('limits', "the leader's work for rates that endpoints advertise", {}, () => runLimitExperiment())
    .command('quota', "the leader's work for quotas, by entries and workspaces", {}, () =>
      runQuotaExperiment(),
    )
    .command('relay', "the relay's cost per token, directly and through a box", {}, () =>
      runRelayExperiment(),
    )
    .command(
      'journal',
      'claims per second with real syncs',
      { seconds: { type: 'number', default: 5 } },
      (args) => runJournalExperiment({ seconds: args.seconds }),
    )
    .command(
      'start',
      'processor time of the start of an entry',
      { runs: { type: 'number', default: 11, describe: 'starts of each program' } },
      ({ runs }) => runStartExperiment({ runs }),
    )
    .command('table', 'time from accepted to in force, change of leader, restart', {}, () =>
      runTableExperiment(),
    )
    .command(
      'slopes',
      'slopes from which docs/CAPACITY.md is calculated',
      { parts: { type: 'string', default: SLOPE_PARTS.join(','), describe: 'parts to measure' } },
      (args) => runSlopesExperiment(list(args.parts)),
    )
    .demandCommand(1)
    .strict()
    .parseAsync()
  process.exit(0)
}

void main()
