import { randomBytes } from 'node:crypto'
import { printTable } from '@forkstage/cli'
import { contentDigest, CrashTracker, readCrashRecords } from '@forkstage/crashes'
import { writeJson } from './report'
import { round } from './summarise'

/** Requests that run on an engine when it crashes. */
const RUNNING_REQUESTS = 64
/** Crashes held by the tracker: at the target 200 boxes fail per day, and crashes are kept for an hour. */
const CRASH_COUNTS = [3, 10, 30]
const LOOKUPS = 200_000
const DIGESTS = 20_000
const BODY_BYTES = [800, 8_000, 32_000]
const HOUR_MS = 3_600_000

/** Measures what a request and a crash cost the crash tracker, and the size of a crash record between machines. */
export function runCrashExperiment(): void {
  const rows = CRASH_COUNTS.map(measureCrashes)
  printTable(
    ['crashes held', 'contents', 'µs per merged crash', 'bytes per crash record', 'ns per lookup'],
    rows.map((row) => [row.ends, row.contents, row.takeUs, row.endBytes, row.lookupNs]),
  )
  const digests = BODY_BYTES.map(measureDigest)
  printTable(
    ['bytes per body', 'µs per digest'],
    digests.map((row) => [row.bytes, row.digestUs]),
  )
  writeJson('crashes', { ends: rows, digests })
}

function measureCrashes(ends: number) {
  const from = new CrashTracker({ now: () => performance.now(), ends: 3, keepMs: HOUR_MS })
  const to = new CrashTracker({ now: () => performance.now(), ends: 3, keepMs: HOUR_MS })
  let mergeMs = 0
  let endBytes = 0
  for (let end = 0; end < ends; end += 1) {
    const running = Array.from({ length: RUNNING_REQUESTS }, () => ({
      content: randomBytes(12).toString('hex'),
      isEarly: false,
    }))
    const text = JSON.stringify(from.recordCrash(`i-${randomBytes(5).toString('hex')}~mv47tb9k`, running))
    endBytes = text.length
    const started = performance.now()
    to.merge(readCrashRecords(JSON.parse(text)))
    mergeMs += performance.now() - started
  }
  const started = performance.now()
  for (let count = 0; count < LOOKUPS; count += 1) to.refusalByBlame('a content that is not there')
  const lookupNs = round(((performance.now() - started) * 1e6) / LOOKUPS, 0)
  return { ends, contents: to.size, takeUs: round((mergeMs * 1_000) / ends, 0), endBytes, lookupNs }
}

function measureDigest(bytes: number) {
  const content = { method: 'POST', host: 'h.example', path: '/p/1', body: randomBytes(bytes) }
  const started = performance.now()
  for (let count = 0; count < DIGESTS; count += 1) contentDigest(content)
  return { bytes, digestUs: round(((performance.now() - started) * 1_000) / DIGESTS, 1) }
}
