import type { TimeSpan } from './checkInterruptedAnswers'
import type { SoakStream, StreamAttempt } from './soakStreams'
import { VERSIONS, type SteadySpan } from './versionedEngine'

/** What happened while streams ran. */
export interface StreamSurroundings {
  /** Times in which machines by name were disrupted. */
  disruptions: ReadonlyMap<string, TimeSpan[]>
  /** Times in which all control machines were down or catching up. */
  outages: TimeSpan[]
  /** Times in which engines served with one version and without a fault. */
  steady: SteadySpan[]
}

/** Attempts in calm times, and how many of them brought an event. */
export interface AttemptCount {
  attempts: number
  served: number
}

/** How often new streams began and resumed ones went on in calm times. */
export interface StreamShares {
  begun: AttemptCount
  resumed: AttemptCount
}

/** A machine that was disrupted counts as calm again after this. */
const CALM_AFTER_MS = 3_000
/** Two engines of a version must serve from this long before an attempt until this long after it. */
const STEADY_MARGIN_MS = 1_000
const MIN_STEADY_ENGINES = 2
const MIN_ATTEMPTS = 12
/** Smallest share of resumed streams that go on, of the share of new streams that begin. */
const MIN_SHARE = 0.5

/** Checks that no stream holds events of two versions or lacks one, and that resumed streams go on. */
export function checkStreamVersions(streams: SoakStream[], surroundings: StreamSurroundings): string[] {
  const { begun, resumed } = countAttempts(streams, surroundings)
  const hasTooFew = resumed.attempts >= MIN_ATTEMPTS && shareOf(resumed) < MIN_SHARE * shareOf(begun)
  const lost = `resumed streams: ${resumed.served} of ${resumed.attempts} went on, ${begun.served} of ${begun.attempts} new ones began`
  return [...streams.flatMap(checkVersions), ...streams.flatMap(checkOrder), ...(hasTooFew ? [lost] : [])]
}

/** Counts the attempts in calm times at which two engines of a version served. */
export function countAttempts(streams: SoakStream[], surroundings: StreamSurroundings): StreamShares {
  const counts: StreamShares = { begun: { attempts: 0, served: 0 }, resumed: { attempts: 0, served: 0 } }
  for (const stream of streams) {
    for (const attempt of stream.attempts) {
      const version = attempt.after === undefined ? undefined : versionsOf(stream)[0]
      if (!isCalm(attempt, surroundings) || !isServed(attempt, version, surroundings)) continue
      const count = attempt.after === undefined ? counts.begun : counts.resumed
      count.attempts += 1
      if (attempt.events.length > 0) count.served += 1
    }
  }
  return counts
}

function checkVersions(stream: SoakStream): string[] {
  const versions = versionsOf(stream)
  if (versions.length < 2) return []
  const attempts = stream.attempts.map(
    ({ id, entry, status, events }) =>
      `${id} at ${entry} ${status} ${[...new Set(events.map((one) => one.version))].join('+') || 'none'}`,
  )
  return [`a stream holds events of two versions: ${attempts.join(', ')}`]
}

function checkOrder(stream: SoakStream): string[] {
  const ids = stream.attempts.flatMap(({ events }) => events.map(({ id }) => id))
  const wrong = ids.findIndex((id, index) => id !== index + 1)
  return wrong < 0 ? [] : [`${stream.attempts[0]!.id} got event ${ids[wrong]} in place of ${wrong + 1}`]
}

function isCalm({ entry, startedAt }: StreamAttempt, { disruptions, outages }: StreamSurroundings): boolean {
  const isNear = ({ from, to }: TimeSpan) =>
    from < startedAt + STEADY_MARGIN_MS && to + CALM_AFTER_MS > startedAt
  const spans = [...disruptions].flatMap(([name, found]) => {
    const counts = name === entry || name.startsWith('control')
    return counts ? found : []
  })
  return ![...spans, ...outages].some(isNear)
}

/** Whether two engines of a version, or of any, served around an attempt. */
function isServed(
  { startedAt }: StreamAttempt,
  version: string | undefined,
  { steady }: StreamSurroundings,
): boolean {
  const serving = steady.filter(
    ({ from, to }) => from < startedAt - STEADY_MARGIN_MS && to > startedAt + STEADY_MARGIN_MS,
  )
  const versions = version === undefined ? VERSIONS : [version]
  return versions.some((one) => serving.filter((span) => span.version === one).length >= MIN_STEADY_ENGINES)
}

function versionsOf({ attempts }: SoakStream): string[] {
  return [...new Set(attempts.flatMap(({ events }) => events.map(({ version }) => version)))]
}

function shareOf({ attempts, served }: AttemptCount): number {
  return attempts === 0 ? 1 : served / attempts
}
