import { createSeededRandom } from '@forkstage/clock'
import type { Deployment } from '@forkstage/deployment'
import { enginePorts, readRecords, setFaults, withDeployment } from './benchDeployment'
import { sendPlanned } from './loadGenerator'
import { MIXES } from './mixes'
import { print, printTable } from '@forkstage/cli'
import { writeChart, writeJson } from './report'
import { summarise, type Summary } from './summarise'

/** Fault injected during a run. */
export type FaultName =
  'none' | 'engine-killed' | 'engine-limping' | 'link-slow' | 'reports-lost' | 'entry-killed'

/** Options of {@link runPolicyExperiment}. */
export interface PolicyExperimentOptions {
  mix: 'addis' | 'colombo'
  policies: string[]
  loads: number[]
  faults: FaultName[]
  /** Parts of the policy to switch off, each in a run of its own. */
  withoutParts: string[]
  seconds: number
  seed: number
  name: string
}

/** Conditions and results of one run. */
export interface PolicyRun {
  mix: string
  policy: string
  without: string
  load: number
  fault: FaultName
  summary: Summary
}

const PORT_BASE = 25_000
const WARM_UP_SECONDS = 3

/** Runs every combination of options on a fresh deployment; prints a table and writes JSON and a chart. */
export async function runPolicyExperiment(options: PolicyExperimentOptions): Promise<PolicyRun[]> {
  const runs: PolicyRun[] = []
  for (const fault of options.faults) {
    for (const load of options.loads) {
      for (const policy of options.policies) {
        for (const without of ['', ...options.withoutParts]) {
          const run = await runOnce({ ...options, policy, load, fault, without })
          runs.push(run)
          print(
            `${run.policy}${without === '' ? '' : ` without ${without}`} load ${load} ${fault}: goodput ${run.summary.goodput}/s, wasted ${run.summary.wastedShare}`,
          )
        }
      }
    }
  }
  printRuns(runs)
  writeJson(options.name, { options, runs })
  if (options.loads.length > 1) await drawGoodput(options.name, runs)
  return runs
}

type RunOptions = PolicyExperimentOptions & {
  policy: string
  load: number
  fault: FaultName
  without: string
}

async function runOnce(options: RunOptions): Promise<PolicyRun> {
  const { policy, load, fault, without, seconds, seed } = options
  const mix = MIXES[options.mix]
  const settings = {
    policy: { name: policy, ...(without === '' ? {} : { switched_off: [without] }) },
    log: { level: 'warn' },
  }
  const summary = await withDeployment(
    { site: mix.site, portBase: PORT_BASE, settings },
    async (deployment) => {
      const rate = mix.baseRate * load
      const warmUp = mix.plan({
        rate: rate / 2,
        durationMs: WARM_UP_SECONDS * 1_000,
        random: createSeededRandom(seed + 1),
      })
      const boxes = () =>
        deployment.boxes.filter(
          (box) => box.process?.child.exitCode === null && box.process.child.signalCode === null,
        )
      await sendPlanned(warmUp, { model: mix.site.model, boxes })
      const before = await readRecords(deployment)
      const plan = mix.plan({ rate, durationMs: seconds * 1_000, random: createSeededRandom(seed) })
      const faultTimer = setTimeout(() => void injectFault(deployment, fault), (seconds * 1_000) / 3)
      const samples = await sendPlanned(plan, { model: mix.site.model, boxes })
      clearTimeout(faultTimer)
      const after = await readRecords(deployment)
      const records = after.map((record, index) => ({
        ...record,
        prefillTokens: record.prefillTokens - before[index]!.prefillTokens,
        wastedTokens: record.wastedTokens - before[index]!.wastedTokens,
      }))
      return summarise(samples, seconds * 1_000, records)
    },
  )
  return { mix: options.mix, policy, without, load, fault, summary }
}

/** Injects a fault into the running deployment, where it lasts until the end of the run. */
async function injectFault(deployment: Deployment, fault: FaultName): Promise<void> {
  const { prefill, decode } = deployment.ports
  if (fault === 'engine-killed')
    await setFaults(decode[0]!, { refuse: true, cutStreamsAfter: 1, dropReports: 1 })
  if (fault === 'engine-limping')
    await Promise.all([setFaults(decode[0]!, { slowFactor: 4 }), setFaults(prefill[0]!, { slowFactor: 4 })])
  if (fault === 'link-slow') await setFaults(decode[1]!, { stallTransfers: true })
  if (fault === 'reports-lost')
    await Promise.all(
      enginePorts(deployment).map((port) =>
        setFaults(port, { dropReports: 0.5, dropCacheEvents: 0.5, reportLagMs: 600 }),
      ),
    )
  if (fault === 'entry-killed') await deployment.kill(deployment.boxes.at(-1)!)
}

function printRuns(runs: PolicyRun[]): void {
  const header = [
    'mix',
    'policy',
    'without',
    'load',
    'fault',
    'goodput/s',
    'good',
    'refused',
    'failed',
    'ttft p50/p95/p99',
    'tbt p50/p95/p99',
    'wasted',
    'fairness',
  ]
  const rows = runs.map(({ mix, policy, without, load, fault, summary }) => {
    const { goodput, goodShare, refusedShare, failedShare, ttft, tbt, wastedShare, fairness } = summary
    const formatPercentiles = (each: Summary['ttft']) =>
      `${Math.round(each.p50)}/${Math.round(each.p95)}/${Math.round(each.p99)}`
    return [
      mix,
      policy,
      without || '-',
      load,
      fault,
      goodput,
      goodShare,
      refusedShare,
      failedShare,
      formatPercentiles(ttft),
      formatPercentiles(tbt),
      wastedShare,
      fairness,
    ]
  })
  printTable(header, rows)
}

async function drawGoodput(name: string, runs: PolicyRun[]): Promise<void> {
  const rows = runs.map((run) => ({
    x: run.load,
    y: run.summary.goodput,
    series: run.without === '' ? run.policy : `without ${run.without}`,
  }))
  await writeChart(name, {
    title: `Goodput, ${runs[0]?.mix}`,
    x: 'load (1: about what the engines carry)',
    y: 'good answers a second',
    rows,
  })
}
