import { COLOMBO, waitUntil, type BoxHandle, type Deployment } from '@forkstage/deployment'
import type { EndpointRow, Table, VersionedTable } from '@forkstage/types'
import { withDeployment } from './benchDeployment'
import { wait } from './processFigures'
import { printTable } from '@forkstage/cli'
import { writeJson } from './report'
import { percentiles } from './summarise'

const PORT_BASE = 26_800
const CHANGES = 60
const CHANGES_BEFORE_RESTART = 1_000

type Row = { what: string; p50: number; p95: number; p99: number; count: number; unit: string }

/** Measures the time from accepted to in force, confirms per second, change of leader and restart, on eight boxes. */
export async function runTableExperiment(): Promise<void> {
  const settings = { log: { level: 'info' } }
  const rows = await withDeployment(
    { site: COLOMBO, portBase: PORT_BASE, cutProxies: true, settings },
    async (deployment) => {
      const measured: Row[] = []
      measured.push(await measureInForce(deployment, 'accepted to in force on 8 boxes', deployment.boxes))
      const cutOffBox = deployment.boxes[7]!
      deployment.cutOff(cutOffBox, true)
      measured.push(
        await measureInForce(deployment, 'the same on 7, one cut off', deployment.boxes.slice(0, 7)),
      )
      measured.push(await measureCutOffLease(deployment, cutOffBox))
      deployment.cutOff(cutOffBox, false)
      await deployment.waitReady()
      measured.push(await measureLeaderChange(deployment))
      measured.push(...(await measureRestart(deployment)))
      return measured
    },
  )
  printTable(
    ['what', 'p50', 'p95', 'p99', 'unit', 'count'],
    rows.map((row) => [row.what, row.p50, row.p95, row.p99, row.unit, row.count]),
  )
  writeJson('table', rows)
}

function withChangedWeights(table: Table, step: number): Table {
  const change = (row: EndpointRow): EndpointRow =>
    row.pool === 'plain' ? { ...row, weight: 1 + (step % 9) } : row
  return { ...table, endpoints: table.endpoints.map(change) }
}

const tableOn = (deployment: Deployment, box: BoxHandle) =>
  deployment.callOperator<VersionedTable>(box, 'GET', '/v1/table')

/** Returns the wall-clock time at which a box logged that it installed a version; undefined when it has not. */
function installedAt(box: BoxHandle, version: number): number | undefined {
  const line = box.process!.lines.findLast(
    (each) => each.includes('"table.installed"') && each.includes(`"version":${version},`),
  )
  return line === undefined ? undefined : (JSON.parse(line) as { time: number }).time
}

async function measureInForce(deployment: Deployment, what: string, boxes: BoxHandle[]): Promise<Row> {
  const times: number[] = []
  for (let step = 0; step < CHANGES; step += 1) {
    const { version, table } = await tableOn(deployment, boxes[0]!)
    const answer = await deployment.confirm(withChangedWeights(table, step), { box: boxes[0], base: version })
    const acceptedAt = Date.now()
    const isOnEveryBox = () => boxes.every((box) => installedAt(box, answer.version) !== undefined)
    await waitUntil(isOnEveryBox, { what: 'the table on every box', everyMs: 5 })
    const last = Math.max(...boxes.map((box) => installedAt(box, answer.version)!))
    times.push(Math.max(0, last - acceptedAt))
  }
  return { what, ...percentiles(times), unit: 'ms', count: times.length }
}

/** Reads from the control leader how much longer, at most, a box that is cut off may act on its lease. */
async function measureCutOffLease(deployment: Deployment, cutOffBox: BoxHandle): Promise<Row> {
  const { boxes } = await deployment.readControlStatus(deployment.boxes[0])
  const left = boxes.find((box) => box.box === cutOffBox.name)?.leaseLeftMs ?? 0
  return { what: 'lease left to the box cut off by then', ...percentiles([left]), unit: 'ms', count: 1 }
}

async function leaderOf(deployment: Deployment): Promise<BoxHandle> {
  type Status = { boxes: { box: string; replicas?: { group: string; role?: string }[] }[] }
  const status = await deployment.callOperator<Status>(deployment.boxes[3]!, 'GET', '/v1/status')
  const leading = status.boxes.find((box) =>
    box.replicas?.some((replica) => replica.group === 'control' && replica.role === 'leader'),
  )
  return deployment.boxes.find((box) => box.name === leading?.box)!
}

/** Measures the time from killing the leader until the next confirm is accepted. */
async function measureLeaderChange(deployment: Deployment): Promise<Row> {
  const times: number[] = []
  for (let round = 0; round < 5; round += 1) {
    const leader = await leaderOf(deployment)
    const viaBox = deployment.boxes[3]!
    const { version, table } = await tableOn(deployment, viaBox)
    await deployment.kill(leader)
    const started = Date.now()
    await deployment.confirm(withChangedWeights(table, 100 + round), { box: viaBox, base: version })
    times.push(Date.now() - started)
    deployment.startBox(leader)
    await deployment.waitReady()
  }
  return {
    what: 'leader killed to next confirm accepted',
    ...percentiles(times),
    unit: 'ms',
    count: times.length,
  }
}

async function measureRestart(deployment: Deployment): Promise<Row[]> {
  const viaBox = deployment.boxes[0]!
  let { version } = await tableOn(deployment, viaBox)
  const { table } = await tableOn(deployment, viaBox)
  const started = Date.now()
  for (let step = 0; step < CHANGES_BEFORE_RESTART; step += 1) {
    const answer = await deployment.confirm(withChangedWeights(table, step + version), {
      box: viaBox,
      base: version,
    })
    version = answer.version
  }
  const perSecond = (CHANGES_BEFORE_RESTART * 1_000) / (Date.now() - started)
  await Promise.all(deployment.boxes.map((box) => deployment.kill(box)))
  await wait(200)
  const restartedAt = Date.now()
  deployment.boxes.forEach((box) => deployment.startBox(box))
  await deployment.waitReady()
  const readyAfter = Date.now() - restartedAt
  return [
    {
      what: 'confirms one after the other',
      ...percentiles([perSecond]),
      unit: 'a second',
      count: CHANGES_BEFORE_RESTART,
    },
    {
      what: 'all boxes killed to all ready, after 1,000 changes',
      ...percentiles([readyAfter]),
      unit: 'ms',
      count: 1,
    },
  ]
}
