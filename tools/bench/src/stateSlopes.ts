import { ControlStateMachine } from '@forkstage/control'
import { JournalMachine, type JournalCommand } from '@forkstage/claims'
import { PrefixIndex, promptBlocks } from '@forkstage/load'
import { OwnerMap } from '@forkstage/owners'
import { checkTable, diffTables, digestTable } from '@forkstage/table'
import type { EndpointRow, Table } from '@forkstage/types'
import { fitSlope, type Slope } from './slopeFit'

const ROW_COUNTS = [12, 1_000, 3_000, 6_000, 11_000]
const CLAIM_COUNTS = [10_000, 50_000, 100_000, 200_000]
const CHANGE_COUNTS = [250, 500, 1_000]
const BOX_COUNTS = [8, 50, 150, 420]
const EVENT_COUNTS = [1_000, 10_000, 50_000]

/** Measures slopes of state and processor time within this process. Needs node's --expose-gc. */
export function measureStateSlopes(): Slope[] {
  return [...rowSlopes(), ...changeSlopes(), ...claimSlopes(), ownerSlope(), eventSlope(), promptSlope()]
}

/** Returns `base` with `rows` more rows, all out of service, in the proportions of the target. */
export function createWideTable(rows: number, base?: Table): Table {
  const created = Array.from({ length: rows }, (_, index): EndpointRow => ({
    endpoint: `worker-${index}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:9000`,
    domain: `domain-${index % 12}`,
    service: 'kelem-llm',
    pool: index % 2 === 0 ? 'prefill' : 'decode',
    models: ['kelem-7b'],
    weight: 1,
    maxInFlight: 48,
    kvTokens: 160_000,
    promptTokensPerSecond: 0,
    state: 'out',
    checksFences: true,
    repeatable: true,
  }))
  return { endpoints: [...(base?.endpoints ?? []), ...created], links: base?.links ?? [] }
}

function rowSlopes(): Slope[] {
  const points = ROW_COUNTS.map((count) => {
    const table = createWideTable(count)
    const next = {
      ...table,
      endpoints: table.endpoints.map((row, index) => (index === 0 ? { ...row, weight: 2 } : row)),
    }
    const machine = new ControlStateMachine()
    machine.apply(confirm(0, { endpoints: [], links: [] }, table))
    const change = confirm(1, table, next)
    return {
      count,
      check: measureMs(() => checkTable(table, { services: new Map() })),
      apply: measureMs(() => void machine.apply(change), 1),
      snapshot: machine.snapshot().length,
      heap: measureHeapBytes(() => createWideTable(count)),
    }
  })
  const pick = (key: 'check' | 'apply' | 'snapshot' | 'heap') =>
    points.map((point): [number, number] => [point.count, point[key]])
  return [
    fitSlope('check of a whole table', 'row', 'ms', pick('check')),
    fitSlope('applying one changed row at a control replica', 'row of the table', 'ms', pick('apply')),
    fitSlope('snapshot of the control group', 'row', 'bytes', pick('snapshot')),
    fitSlope('memory of the table', 'row', 'bytes', pick('heap')),
  ]
}

function confirm(base: number, from: Table, to: Table) {
  return {
    type: 'confirm' as const,
    base,
    digest: digestTable(to),
    confirmId: `c-${base}`,
    delta: diffTables(from, to),
    who: 'bench',
    at: 0,
  }
}

function changeSlopes(): Slope[] {
  const points = CHANGE_COUNTS.map((count): [number, number] => {
    const machine = new ControlStateMachine()
    let table = createWideTable(12)
    machine.apply(confirm(0, { endpoints: [], links: [] }, table))
    const empty = machine.snapshot().length
    for (let step = 1; step <= count; step += 1) {
      const next = {
        ...table,
        endpoints: table.endpoints.map((row, index) =>
          index === step % 12 ? { ...row, weight: step } : row,
        ),
      }
      machine.apply(confirm(step, table, next))
      table = next
    }
    return [count, machine.snapshot().length - empty]
  })
  return [
    fitSlope(
      'state of an accepted change while its details are kept (1,000 changes)',
      'change',
      'bytes',
      points,
    ),
  ]
}

function claimSlopes(): Slope[] {
  return [...claimSlopesOf('open', () => undefined), ...claimSlopesOf('settled', settle)]
}

function claimSlopesOf(kind: string, finish: (machine: JournalMachine, n: number) => void): Slope[] {
  const owner = { box: 'bole-1', incarnation: '0123456789', address: '127.0.0.1:7201' }
  const points = CLAIM_COUNTS.map((count) => {
    const limits = { retainMs: 600_000, openMs: 60_000, maxClaims: 1e9, maxOutcomeBytes: 1e9 }
    const fill = () => {
      const machine = new JournalMachine(limits)
      for (let n = 0; n < count; n += 1) {
        machine.apply(claimCommand(n, owner))
        finish(machine, n)
      }
      return machine
    }
    const heap = measureHeapBytes(fill)
    const machine = fill()
    const snapshotMs = measureMs(() => machine.snapshot(), 3)
    return { count, heap, snapshotMs, bytes: machine.snapshot().length }
  })
  const pick = (key: 'heap' | 'snapshotMs' | 'bytes') =>
    points.map((point): [number, number] => [point.count, point[key]])
  return [
    fitSlope(`memory of ${kind} claims`, 'claim', 'bytes', pick('heap')),
    fitSlope(`snapshot of ${kind} claims`, 'claim', 'bytes', pick('bytes')),
    fitSlope(`time of a snapshot of ${kind} claims`, 'claim', 'ms', pick('snapshotMs')),
  ]
}

/** Settles a claim with an outcome of about thirty tokens, as an answer check returns it. */
function settle(machine: JournalMachine, n: number): void {
  const body = Buffer.from(`${n}`.padStart(240, 'x')).toString('base64')
  const outcome = {
    execution: 'ran' as const,
    status: 200,
    headers: {},
    body,
    digest: `${n}`.padStart(64, 'b'),
    bytes: 240,
  }
  machine.apply({ type: 'settle', key: keyOf(n), epoch: 1, outcome })
}

const keyOf = (n: number) => `card-app/3f2a9c1e-${n}`

function claimCommand(
  n: number,
  owner: { box: string; incarnation: string; address: string },
): JournalCommand {
  return {
    type: 'claim',
    key: keyOf(n),
    bodyDigest: `${n}`.padStart(64, 'a'),
    request: `bole-1~0123456789~${n.toString(36)}`,
    owner: { ...owner },
    repeatable: true,
  }
}

/** Measures how long it takes to compute the owners of 11,000 endpoints after a box has joined. */
function ownerSlope(): Slope {
  const points = BOX_COUNTS.map((count): [number, number] => {
    const owners = new OwnerMap()
    const boxes = Array.from({ length: count }, (_, index) => ({
      box: `box-${index}`,
      incarnation: 'i',
      address: '',
      domain: 'd',
      state: 'serving' as const,
    }))
    owners.update({ version: [1, 1], boxes, leaving: [] })
    for (let index = 0; index < 11_000; index += 1) owners.ownerOf(`worker-${index}`)
    const joined = [...boxes, { ...boxes[0]!, box: 'joined' }]
    return [count, measureMs(() => owners.update({ version: [1, 2], boxes: joined, leaving: [] }), 1)]
  })
  return fitSlope('owners of 11,000 endpoints after one box came', 'live box', 'ms', points)
}

function eventSlope(): Slope {
  const points = EVENT_COUNTS.map((count): [number, number] => {
    const events = Array.from({ length: count }, (_, seq) => ({
      seq,
      type: 'added' as const,
      block: `${seq}`.padStart(16, '0'),
    }))
    return [count, measureMs(() => new PrefixIndex().applyEvents(events), 3)]
  })
  return fitSlope('taking cache events', 'event', 'ms', points)
}

function promptSlope(): Slope {
  const points = [250, 1_000, 4_000, 16_000, 32_000].map((tokens): [number, number] => {
    const text = 'valve '.repeat(tokens)
    return [tokens, measureMs(() => promptBlocks(text.slice(0, tokens * 4)), 20)]
  })
  return fitSlope('hashing a prompt into prefix blocks', 'token', 'ms', points)
}

/** Returns the shortest duration of several calls, in milliseconds. */
function measureMs(run: () => unknown, repeats = 5): number {
  let least = Infinity
  for (let n = 0; n < repeats; n += 1) {
    const started = performance.now()
    run()
    least = Math.min(least, performance.now() - started)
  }
  return least
}

/** Returns the memory that a function's result takes up, in bytes. */
function measureHeapBytes(create: () => unknown): number {
  const collect = (globalThis as { gc?: () => void }).gc
  if (collect === undefined) throw new Error('measuring memory needs node --expose-gc')
  collect()
  const before = process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers
  const kept = create()
  collect()
  const after = process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers
  if (kept === undefined) throw new Error('function returned nothing to measure')
  return after - before
}
