import { afterEach, describe, expect, it } from 'vitest'
import { ENGINE } from '../../../request/gateway/test/rowsWithDefaults'
import { FleetHarness, sheet, until } from './fleetHarness'
import { lastEventOf, readStream, type StreamAnswer } from './resumingCaller'
import { VersionedEngine } from './versionedEngine'

/* Guards against streams that hold events of engines of two software versions. */

const ENTRIES = [100, 101, 102]
const CONTROL = [1, 2, 3]
const STREAMS = 12
const EVENTS_BEFORE_BREAK = 5
/** Allows each stream to be sent again. */
const RETRIES = '[retry]\nslack = 100'

let harness: FleetHarness
let engines: VersionedEngine[] = []
afterEach(async () => {
  await harness.stop()
  engines.forEach((engine) => engine.stop())
})

async function startFleet(port: number, versions: (string | undefined)[]): Promise<void> {
  harness = new FleetHarness(port, RETRIES)
  engines = versions.map((version, index) => new VersionedEngine(harness, `i-${index}`, version))
  await Promise.all(CONTROL.map((number) => harness.startControl(number)))
  await until('a sheet is accepted', async () => (await harness.put(1, modelSheet())) === 200)
  await Promise.all(engines.map((engine) => engine.start()))
  for (const engine of engines) await until('an engine is registered', () => engine.register())
  for (const entry of ENTRIES) await harness.startEntry(entry)
  for (const entry of ENTRIES) {
    await until(`entry ${entry} serves`, async () => {
      const answer = await readStream({ id: `warm-${entry}-${Math.random()}`, url: harness.callers(entry) })
      return answer.isWhole
    })
  }
}

function modelSheet(): string {
  const { routes, ...rest } = sheet(1)
  const route = {
    ...routes[0]!,
    kind: 'streaming',
    resumable: true,
    attempts: 4,
    timeoutMs: 8_000,
    shares: [{ service: 'model', weight: 1 }],
  }
  return JSON.stringify({
    ...rest,
    routes: [route],
    services: [{ name: 'model', maxConnections: 100, engine: { ...ENGINE, slots: 64, kvTokens: 100_000 } }],
  })
}

const entryOf = (index: number) => harness.callers(ENTRIES[index % ENTRIES.length]!)

/** Begins streams at all entries, each of which its caller breaks off after a few events. */
async function beginStreams(prefix: string): Promise<StreamAnswer[]> {
  return Promise.all(
    Array.from({ length: STREAMS }, (_, index) =>
      readStream({ id: `${prefix}${index}`, url: entryOf(index), events: EVENTS_BEFORE_BREAK }),
    ),
  )
}

/** Resumes each stream at another entry than before. */
async function resumeStreams(
  prefix: string,
  begun: StreamAnswer[],
  options: { attempt: number; events?: number; entry?: string },
): Promise<StreamAnswer[]> {
  const { attempt, events, entry } = options
  return Promise.all(
    begun.map((answer, index) =>
      readStream({
        id: `${prefix}${index}-${attempt}`,
        url: entry ?? entryOf(index + attempt),
        events,
        resumes: { id: `${prefix}${index}`, lastEventId: lastEventOf(answer) },
      }),
    ),
  )
}

/** Returns how many streams hold events of more than one version over their attempts. */
function countMixed(...attempts: StreamAnswer[][]): number {
  const versionsOf = (index: number) =>
    new Set(attempts.flatMap((answers) => [...answers[index]!.versions.values()]))
  return attempts[0]!.filter((_, index) => versionsOf(index).size > 1).length
}

const leaderNumber = () => [...harness.control].find(([, machine]) => machine.status()?.role === 'leader')![0]
const countWhole = (answers: StreamAnswer[]) => answers.filter(({ isWhole }) => isWhole).length
const versionsIn = (answers: StreamAnswer[]) =>
  [...new Set(answers.flatMap(({ versions }) => [...versions.values()]))].sort()

describe('streams while engines of two software versions serve', () => {
  it('go on at the version that began them when engines break them off', async () => {
    await startFleet(23_000, ['v1', 'v1', 'v2', 'v2'])
    const answers = Promise.all(
      Array.from({ length: STREAMS }, (_, index) => readStream({ id: `s${index}`, url: entryOf(index) })),
    )
    const running = () => engines.reduce((sum, engine) => sum + engine.countStreams(EVENTS_BEFORE_BREAK), 0)
    await until('all streams have begun', () => running() === STREAMS)
    for (const engine of engines) engine.breakOff()
    expect(countMixed(await answers)).toBe(0)
    expect(versionsIn(await answers)).toEqual(['v1', 'v2'])
    expect(countWhole(await answers)).toBe(STREAMS)
  })

  it('go on at the version that began them when callers resume them at other entries, twice', async () => {
    await startFleet(23_020, ['v1', 'v1', 'v2', 'v2'])
    const first = await beginStreams('s')
    const second = await resumeStreams('s', first, { attempt: 1, events: EVENTS_BEFORE_BREAK })
    const third = await resumeStreams('s', second, { attempt: 2 })
    expect(countMixed(first, second, third)).toBe(0)
    expect(versionsIn(first)).toEqual(['v1', 'v2'])
    expect(countWhole(third)).toBe(STREAMS)
  })

  it('go on at the version that began them when the leader has changed', async () => {
    await startFleet(23_040, ['v1', 'v1', 'v2', 'v2'])
    const first = await beginStreams('s')
    await harness.stopControl(leaderNumber())
    await until('another machine leads', () =>
      [...harness.control.values()].some((machine) => machine.status()?.role === 'leader'),
    )
    const second = await resumeStreams('s', first, { attempt: 1 })
    expect(countMixed(first, second)).toBe(0)
    expect(versionsIn(first)).toEqual(['v1', 'v2'])
    expect(countWhole(second)).toBe(STREAMS)
  })

  it('go on at the version that began them when their entries and the leader have ended together', async () => {
    await startFleet(23_060, ['v1', 'v1', 'v2', 'v2'])
    const first = await beginStreams('s')
    const leader = leaderNumber()
    await Promise.all([
      harness.stopControl(leader),
      harness.stopEntry(ENTRIES[0]!),
      harness.stopEntry(ENTRIES[1]!),
    ])
    const second = await resumeStreams('s', first, { attempt: 1, entry: harness.callers(ENTRIES[2]!) })
    expect(countMixed(first, second)).toBe(0)
    expect(versionsIn(first)).toEqual(['v1', 'v2'])
    expect(countWhole(second)).toBe(STREAMS)
  })
})

describe('a caller that resumes a stream', () => {
  const resume = (id: string, lastEventId: number, entry = 0) =>
    readStream({ id: `${id}-again`, url: entryOf(entry), resumes: { id, lastEventId } })

  it('is refused at once, with a time to retry, where no engine of its version is left', async () => {
    await startFleet(23_080, ['v1', 'v2'])
    const first = await beginStreams('s')
    const old = first.findIndex((answer) => versionsIn([answer])[0] === 'v1')
    await until('the engine drains', () => engines[0]!.register(1, 'draining'))
    const { runs } = engines[1]!
    const second = await resume(`s${old}`, EVENTS_BEFORE_BREAK, 1)
    expect(second).toMatchObject({ status: 503, headers: { 'retry-after': '5.000' } })
    expect(engines[1]!.runs).toBe(runs)
  })

  it('is refused where no machine remembers the stream and two versions serve', async () => {
    await startFleet(23_100, ['v1', 'v2'])
    const runs = () => engines.reduce((sum, engine) => sum + engine.runs, 0)
    const before = runs()
    expect((await resume('never-seen', 3)).status).toBe(503)
    expect(runs()).toBe(before)
  })

  it('is served where no machine remembers the stream and one version has ever served', async () => {
    await startFleet(23_120, ['v1', 'v1'])
    expect(await resume('never-seen', 3)).toMatchObject({ status: 200, isWhole: true })
  })

  it('is served by engines that report no version, as long as none reports one', async () => {
    await startFleet(23_140, [undefined, undefined])
    const first = await beginStreams('s')
    const second = await resumeStreams('s', first, { attempt: 1 })
    expect(countWhole(second)).toBe(STREAMS)
  })
})
