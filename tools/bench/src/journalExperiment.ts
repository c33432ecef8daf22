import { JournalClient, type JournalCommand, type JournalResult } from '@forkstage/claims'
import { createSystemClock } from '@forkstage/clock'
import { ADDIS, SHARED_KEY, type Deployment } from '@forkstage/deployment'
import { GroupClient } from '@forkstage/group'
import { createSilentLogger } from '@forkstage/logger'
import { PeerClient } from '@forkstage/peer-rpc'
import { withDeployment } from './benchDeployment'
import { readProcess } from './processFigures'
import { printTable } from '@forkstage/cli'
import { writeJson } from './report'
import { percentiles, round } from './summarise'

const PORT_BASE = 25_600
const CONCURRENCIES = [1, 16, 64, 256]

/** Options of {@link runJournalExperiment}. */
export interface JournalExperimentOptions {
  seconds: number
}

/** Measures claims per second and their latency through the peer protocol, with real syncs on three replicas. */
export async function runJournalExperiment({ seconds }: JournalExperimentOptions): Promise<void> {
  const settings = { log: { level: 'warn' }, journal: { max_claims: 2_000_000 } }
  const rows = await withDeployment(
    { site: ADDIS, portBase: PORT_BASE, settings, boxes: 3 },
    async (deployment) => {
      const measured: Awaited<ReturnType<typeof measureClaims>>[] = []
      for (const concurrency of CONCURRENCIES)
        measured.push(await measureClaims(deployment, concurrency, seconds))
      return measured
    },
  )
  printTable(
    ['in flight', 'claims/s', 'p50 ms', 'p99 ms', 'leader CPU share', 'CPU µs per claim'],
    rows.map((row) => [row.concurrency, row.claimsASecond, row.p50, row.p99, row.leaderCpu, row.cpuUsAClaim]),
  )
  writeJson('journal', rows)
}

async function measureClaims(deployment: Deployment, concurrency: number, seconds: number) {
  const clock = createSystemClock()
  const peers = new PeerClient({
    credentials: { box: 'bench', sharedKey: SHARED_KEY },
    clock,
    logger: createSilentLogger(),
  })
  const replicas = () => deployment.boxes.map((box) => box.peers)
  const group = new GroupClient<JournalCommand, JournalResult>({ group: 'journal0', replicas, peers, clock })
  const journal = new JournalClient({
    groups: [group],
    owner: { box: 'bench', incarnation: `${concurrency}`, address: '127.0.0.1:1' },
    deadline: 10_000,
  })
  const times: number[] = []
  const end = Date.now() + seconds * 1_000
  const before = await cpuSecondsOfAll(deployment)
  const worker = async (worker: number) => {
    for (let n = 0; Date.now() < end; n += 1) {
      const started = performance.now()
      const key = `bench/${concurrency}-${worker}-${n}`
      await journal.claim(key, 'a'.repeat(64), key, true)
      times.push(performance.now() - started)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, (_, index) => worker(index)))
  const after = await cpuSecondsOfAll(deployment)
  peers.close()
  // The leader is the replica that used the most processor time.
  const leaderSeconds = Math.max(...after.map((each, index) => each - before[index]!))
  const { p50, p99 } = percentiles(times)
  return {
    concurrency,
    claimsASecond: Math.round(times.length / seconds),
    p50,
    p99,
    leaderCpu: round(leaderSeconds / seconds, 3),
    cpuUsAClaim: round((leaderSeconds * 1e6) / times.length, 1),
  }
}

async function cpuSecondsOfAll(deployment: Deployment): Promise<number[]> {
  const figures = await Promise.all(deployment.boxes.map(readProcess))
  return figures.map((each) => each.cpuSeconds)
}
