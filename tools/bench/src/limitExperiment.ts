import { createSystemClock } from '@forkstage/clock'
import { printTable } from '@forkstage/cli'
import { PermitAllocator, RateTable, readLimitReport } from '@forkstage/limits'
import { createSilentLogger } from '@forkstage/logger'
import { writeJson } from './report'
import { round } from './summarise'

/** Endpoints that advertise a rate at one time: a few, a service, a tenth of 11,000. */
const LIMITED_COUNTS = [3, 30, 300, 1_100]
const ENTRIES = 420
const REPORTS = 2_000
/** An entry reports every 500 ms, and every 250 ms while the leader has fewer permits than are wanted. */
const REPORTS_PER_SECOND = 4
const MS_PER_SECOND = 1_000

/** Measures the leader's time to check and answer one report of advertised rates, and the size of both messages. */
export function runLimitExperiment(): void {
  const rows = LIMITED_COUNTS.map(measure)
  printTable(
    ['endpoints', 'µs per report', 'leader, ms per second', 'bytes per report', 'bytes per answer'],
    rows.map((row) => [row.endpoints, row.reportUs, row.leaderMs, row.reportBytes, row.answerBytes]),
  )
  writeJson('limits', { rows })
}

function measure(endpoints: number) {
  const clock = createSystemClock()
  const rates = new RateTable({ clock, logger: createSilentLogger() })
  const allocator = new PermitAllocator({ clock, rates, term: () => 1 })
  const row = { word: { perSecond: 12.5, ageMs: 312.25 }, wanted: 3, returned: 0 }
  const named = Object.fromEntries(
    Array.from({ length: endpoints }, (_, index) => [`i-7f3a91c2${index}~mv47tb9k`, row]),
  )
  const text = JSON.stringify({ entry: 'front-bole-hall-1', endpoints: named })
  const started = performance.now()
  let answer = ''
  for (let count = 0; count < REPORTS; count += 1)
    answer = JSON.stringify(allocator.allocate(readLimitReport(JSON.parse(text))!))
  const reportUs = ((performance.now() - started) * MS_PER_SECOND) / REPORTS
  return {
    endpoints,
    reportUs: round(reportUs, 1),
    leaderMs: round((reportUs * ENTRIES * REPORTS_PER_SECOND) / MS_PER_SECOND, 1),
    reportBytes: text.length,
    answerBytes: answer.length,
  }
}
