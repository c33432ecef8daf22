/**
 * Measures an entry, in a process with the flags of the deploy file, while callers send bodies as large as allowed: what they
 * get, its memory and how late it answers readiness. Prints a table; fails where a request that ran is lost or an aim is missed.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { Agent } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { BodiesEndpoint, READ_SLOWLY } from './bodiesEndpoint'
import { waitServing } from './experimentFleet'
import type { SoakMachine } from './machineSettings'
import { pause } from './pause'
import { processNetwork } from './processNetwork'
import { sendBody } from './sendBody'
import { peakMemoryMb } from './soakBodies'
import { PATHS } from './soakCallers'
import { SoakFleet } from './soakFleet'

const PROGRAM = 'dist/entry.cjs'
const NODE_FLAGS = '--max-old-space-size=90 --max-semi-space-size=2'
const CALLERS = [8, 48, 200]
const ROUTES = ['unsafe', 'safe'] as const
/** How bodies are sent and read. */
const KINDS = ['length', 'chunks', 'slow callers', 'slow endpoint'] as const
const BODY_BYTES = 4 * 1024 * 1024
const ROUNDS = 2
const DEADLINE_MS = 8_000
const SLOW_PAUSE_MS = 25
const READINESS_EVERY_MS = 20
const REST_MS = 1_500
const MAX_MEMORY_MB = 160
const MAX_READINESS_MS = 200

type Kind = (typeof KINDS)[number]

interface Row {
  route: (typeof ROUTES)[number]
  kind: Kind
  callers: number
}

async function main(): Promise<boolean> {
  const options = await yargs(hideBin(process.argv))
    .scriptName('npm run large-bodies --')
    .option('callers', { type: 'number', array: true, default: CALLERS })
    .option('routes', { choices: ROUTES, array: true, default: ROUTES })
    .option('kinds', { choices: KINDS, array: true, default: KINDS })
    .strict()
    .parse()
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-bodies-'))
  const entryRunner = { program: PROGRAM, env: { NODE_OPTIONS: NODE_FLAGS } }
  const fleet = new SoakFleet(folder, processNetwork(), { entryRunner })
  fleet.startAll()
  const endpoint = new BodiesEndpoint(fleet.control.map((machine) => fleet.operators(machine)))
  try {
    await endpoint.start()
    await waitServing(fleet, ['safe'])
    const [entry] = fleet.entries
    write(`entry at rest: ${peakMemoryMb(fleet.pidOf(entry!))} MB`)
    write('| callers | route | bodies | statuses | ran and lost | memory MB | readiness, slowest ms |')
    write('| --- | --- | --- | --- | --- | --- | --- |')
    let isMet = true
    for (const callers of options.callers)
      for (const route of options.routes)
        for (const kind of options.kinds)
          isMet = (await measure(fleet, entry!, endpoint, { callers, route, kind })) && isMet
    write(isMet ? 'verdict: all aims are met' : 'verdict: an aim is missed')
    return isMet
  } finally {
    endpoint.stop()
    await fleet.stopAll()
    rmSync(folder, { recursive: true, force: true })
  }
}

/** Plays one row and prints it; returns whether the aims are met. */
async function measure(
  fleet: SoakFleet,
  entry: SoakMachine,
  { ran }: BodiesEndpoint,
  { callers, route, kind }: Row,
): Promise<boolean> {
  await pause(REST_MS)
  const pid = fleet.pidOf(entry)
  // Makes the highest resident memory start anew; see proc(5), `clear_refs`.
  writeFileSync(`/proc/${pid}/clear_refs`, '5')
  let isOver = false
  const readiness = pollReadiness(fleet, entry, () => isOver)
  const url = `${fleet.callers(entry)}${PATHS[route]}x`
  const calls = await Promise.all(
    Array.from({ length: callers }, async (_, index) => {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 })
      const isSlow = kind === 'slow callers' && index % 4 === 0
      const answers = []
      for (let round = 0; round < ROUNDS; round += 1) {
        const id = `${kind}-${route}-${callers}-${index}-${round}`.replace(' ', '-')
        const headers: Record<string, string> = {
          'X-Forkstage-Deadline-Ms': String(DEADLINE_MS),
          'X-Api-Key': 'key-steady',
          ...(kind === 'slow endpoint' ? { [READ_SLOWLY]: '1' } : {}),
        }
        const how = { isChunked: kind === 'chunks', pauseMs: isSlow ? SLOW_PAUSE_MS : 0 }
        const call = { url, id, headers, bytes: BODY_BYTES, limitMs: DEADLINE_MS + 1_000, agent, ...how }
        answers.push({ ...(await sendBody(call)), id })
      }
      agent.destroy()
      return answers
    }),
  )
  isOver = true
  const answers = calls.flat()
  const lost = answers.filter(({ status, id }) => status === 0 && ran.has(id)).length
  const results = answers.map(({ status, error }) => String(status || error))
  const statuses = [...new Set(results)].map(
    (one) => `${results.filter((each) => each === one).length} x ${one}`,
  )
  const memoryMb = peakMemoryMb(pid)
  const readinessMs = await readiness
  write(`| ${[callers, route, kind, statuses.join(', '), lost, memoryMb, readinessMs].join(' | ')} |`)
  return lost === 0 && memoryMb > 0 && memoryMb <= MAX_MEMORY_MB && readinessMs <= MAX_READINESS_MS
}

/** Resolves to the slowest answer to a question for readiness, in milliseconds, once it is over. */
async function pollReadiness(fleet: SoakFleet, entry: SoakMachine, isOver: () => boolean): Promise<number> {
  let slowestMs = 0
  while (!isOver()) {
    const askedAt = performance.now()
    await fleet.isReady(entry)
    slowestMs = Math.max(slowestMs, performance.now() - askedAt)
    await pause(READINESS_EVERY_MS)
  }
  return Math.round(slowestMs)
}

function write(text: string): void {
  process.stdout.write(`${text}\n`)
}

main().then(
  (isMet) => process.exit(isMet ? 0 : 1),
  (error: unknown) => {
    process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  },
)
