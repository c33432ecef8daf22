import { createSeededRandom } from '@forkstage/clock'
import { ADDIS, scaleSite, type BoxHandle, type Deployment } from '@forkstage/deployment'
import { withDeployment } from './benchDeployment'
import { sendPlanned } from './loadGenerator'
import { MIXES } from './mixes'
import { readProcess, wait } from './processFigures'
import { fitSlope, type Slope } from './slopeFit'
import { createWideTable } from './stateSlopes'
import { sum } from './summarise'

const PORT_BASE = 27_600
const IDLE_SECONDS = 8
const SETTINGS = { log: { level: 'warn' } }
const BOX_COUNTS = [3, 6, 12, 24]
const ENGINE_COUNTS = [3, 12, 24, 48]
const ROW_COUNTS = [0, 1_000, 4_000, 11_000]
const CHANGES = 20
const REQUEST_RATES = [5, 15, 30]

/** Load of idle boxes: the mean of the entries that are not control replicas, and that of the leader. */
interface IdleFigures {
  entryCpu: number
  entryBytes: number
  leaderCpu: number
  leaderBytes: number
  entryMegabytes: number
}

/** Measures the load of idle entries and of the control leader as boxes are added. */
export async function boxSlopes(): Promise<Slope[]> {
  const points: [number, IdleFigures][] = []
  for (const count of BOX_COUNTS) {
    const options = {
      site: scaleSite(ADDIS, count),
      portBase: PORT_BASE,
      cutProxies: true,
      settings: SETTINGS,
    }
    points.push([count, await withDeployment(options, measureIdle)])
  }
  const pick = (key: keyof IdleFigures) =>
    points.map(([count, figures]): [number, number] => [count, figures[key]])
  return [
    fitSlope('idle control leader, processor share', 'box', 'cores', pick('leaderCpu')),
    fitSlope('idle control leader, bytes a second', 'box', 'bytes/s', pick('leaderBytes')),
    fitSlope('idle entry, processor share', 'box', 'cores', pick('entryCpu')),
    fitSlope('idle entry, bytes a second', 'box', 'bytes/s', pick('entryBytes')),
  ]
}

/** Measures the load of an entry as the number of endpoints that it follows grows. */
export async function endpointSlopes(): Promise<Slope[]> {
  const points: [number, IdleFigures][] = []
  for (const engines of ENGINE_COUNTS) {
    const options = { site: ADDIS, portBase: PORT_BASE, cutProxies: true, settings: SETTINGS, engines }
    points.push([2 * engines + 3, await withDeployment(options, measureIdle)])
  }
  const pick = (key: keyof IdleFigures) =>
    points.map(([count, figures]): [number, number] => [count, figures[key]])
  return [
    fitSlope(
      'entry, bytes a second for credits and reports (7 boxes)',
      'endpoint followed',
      'bytes/s',
      pick('entryBytes'),
    ),
    fitSlope(
      'entry, processor share for credits and reports (7 boxes)',
      'endpoint followed',
      'cores',
      pick('entryCpu'),
    ),
    fitSlope('entry, resident memory', 'endpoint followed', 'MB', pick('entryMegabytes')),
  ]
}

/** Measures the cost of one changed row at an entry as the table grows. */
export async function changeSlopes(): Promise<Slope[]> {
  const points: { rows: number; bytes: number; cpu: number; megabytes: number }[] = []
  for (const rows of ROW_COUNTS) {
    const options = { site: ADDIS, portBase: PORT_BASE, cutProxies: true, settings: SETTINGS }
    points.push({
      rows: rows + 9,
      ...(await withDeployment(options, (deployment) => measureChanges(deployment, rows))),
    })
  }
  const pick = (key: 'bytes' | 'cpu' | 'megabytes') =>
    points.map((point): [number, number] => [point.rows, point[key]])
  return [
    fitSlope('bytes to one box for one changed row', 'row of the table', 'bytes', pick('bytes')),
    fitSlope('processor time of one entry for one changed row', 'row of the table', 'ms', pick('cpu')),
    fitSlope('entry, resident memory with the table', 'row of the table', 'MB', pick('megabytes')),
  ]
}

/** Measures the cost of requests at the entry that runs them and at the journal's leader. */
export async function requestSlopes(): Promise<Slope[]> {
  const mix = MIXES.addis
  const points = await withDeployment(
    { site: ADDIS, portBase: PORT_BASE, settings: SETTINGS },
    async (deployment) => {
      const measured: { rate: number; entry: number; leader: number }[] = []
      for (const rate of REQUEST_RATES) {
        const plan = mix.plan({ rate, durationMs: IDLE_SECONDS * 1_000, random: createSeededRandom(rate) })
        const target = deployment.boxes[5]!
        const before = await cpuSecondsOfAll(deployment)
        await sendPlanned(plan, { model: mix.site.model, boxes: () => [target] })
        const after = await cpuSecondsOfAll(deployment)
        const spent = after.map((each, index) => (each - before[index]!) / IDLE_SECONDS)
        measured.push({
          rate: plan.length / IDLE_SECONDS,
          entry: spent[5]!,
          leader: Math.max(spent[0]!, spent[1]!, spent[2]!),
        })
      }
      return measured
    },
  )
  return [
    fitSlope(
      'entry, processor share (Addis mix, about 35 tokens a request)',
      'request/s',
      'cores',
      points.map(({ rate, entry }) => [rate, entry]),
    ),
    fitSlope(
      'journal leader, processor share (claim and outcome)',
      'request/s',
      'cores',
      points.map(({ rate, leader }) => [rate, leader]),
    ),
  ]
}

async function measureIdle(deployment: Deployment): Promise<IdleFigures> {
  await wait(1_500)
  const cpuBefore = await cpuSecondsOfAll(deployment)
  const bytesBefore = bytesOfAll(deployment)
  await wait(IDLE_SECONDS * 1_000)
  const cpu = (await cpuSecondsOfAll(deployment)).map(
    (each, index) => (each - cpuBefore[index]!) / IDLE_SECONDS,
  )
  const bytes = bytesOfAll(deployment).map((each, index) => (each - bytesBefore[index]!) / IDLE_SECONDS)
  const memory = (await Promise.all(deployment.boxes.map(readProcess))).map(
    (each) => each.residentBytes / 1e6,
  )
  const entries = deployment.boxes.flatMap((box, index) => (box.control ? [] : [index]))
  // In a deployment of control boxes only, these are measured as entries too.
  const counted = entries.length > 0 ? entries : deployment.boxes.map((_, index) => index)
  const mean = (values: number[]) => sum(counted.map((index) => values[index]!)) / counted.length
  const controls = deployment.boxes.flatMap((box, index) => (box.control ? [index] : []))
  return {
    entryCpu: mean(cpu),
    entryBytes: mean(bytes),
    entryMegabytes: mean(memory),
    leaderCpu: Math.max(...controls.map((index) => cpu[index]!)),
    leaderBytes: Math.max(...controls.map((index) => bytes[index]!)),
  }
}

async function measureChanges(deployment: Deployment, rows: number) {
  const entry = deployment.boxes[6]!
  let table = createWideTable(rows, deployment.table)
  const first = await deployment.confirm(table)
  await deployment.waitInForce(first.version)
  await wait(2_000)
  const idle = await measureUsage(deployment, entry, () => wait(4_000))
  const changing = await measureUsage(deployment, entry, async () => {
    const started = Date.now()
    for (let step = 0; step < CHANGES; step += 1) {
      table = {
        ...table,
        endpoints: table.endpoints.map((row, index) => (index === 6 ? { ...row, weight: 2 + step } : row)),
      }
      const answer = await deployment.confirm(table)
      await deployment.waitInForce(answer.version)
    }
    await wait(Math.max(0, 4_000 - (Date.now() - started)))
  })
  const perChange = (total: number, idleRate: number) =>
    Math.max(0, total - idleRate * changing.seconds) / CHANGES
  const { residentBytes } = await readProcess(entry)
  return {
    bytes: perChange(changing.bytes, idle.bytes / idle.seconds),
    cpu: perChange(changing.cpu, idle.cpu / idle.seconds) * 1_000,
    megabytes: residentBytes / 1e6,
  }
}

async function measureUsage(deployment: Deployment, box: BoxHandle, run: () => Promise<unknown>) {
  const cpuBefore = (await readProcess(box)).cpuSeconds
  const bytesBefore = bytesOf(deployment, box)
  const started = performance.now()
  await run()
  const seconds = (performance.now() - started) / 1_000
  return {
    seconds,
    cpu: (await readProcess(box)).cpuSeconds - cpuBefore,
    bytes: bytesOf(deployment, box) - bytesBefore,
  }
}

async function cpuSecondsOfAll(deployment: Deployment): Promise<number[]> {
  return (await Promise.all(deployment.boxes.map(readProcess))).map((each) => each.cpuSeconds)
}

const bytesOfAll = (deployment: Deployment) => deployment.boxes.map((box) => bytesOf(deployment, box))

/** Returns the bytes of all peer traffic of a box, over connections that it opened and that others opened to it. */
function bytesOf(deployment: Deployment, box: BoxHandle): number {
  let bytes = 0
  for (const other of deployment.boxes) {
    for (const [host, traffic] of other.proxy?.traffic() ?? []) {
      const isTrafficOfBox = other === box ? host !== box.host : host === box.host
      if (isTrafficOfBox) bytes += traffic.toBox + traffic.fromBox
    }
  }
  return bytes
}
