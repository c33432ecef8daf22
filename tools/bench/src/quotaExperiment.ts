import { createSystemClock } from '@forkstage/clock'
import { printTable } from '@forkstage/cli'
import { QuotaLedger, type QuotaReport } from '@forkstage/quota'
import { writeJson } from './report'
import { round } from './summarise'

const ENTRY_COUNTS = [60, 200, 420]
/** Workspaces that one entry serves within two windows and names in each report. */
const NAMED_COUNTS = [4, 16, 64]
/** Workspaces in use per entry; the target has 23,000 on 420 entries. */
const WORKSPACES_PER_ENTRY = 55
const REPORTS = 20_000
const WINDOW_MS = 8_000
const REPORTS_PER_SECOND = 2

/** Measures the leader's time for one report, for growing numbers of entries and of workspaces named. */
export function runQuotaExperiment(): void {
  const rows = ENTRY_COUNTS.flatMap((entries) => NAMED_COUNTS.map((named) => measure(entries, named)))
  printTable(
    ['entries', 'workspaces named', 'µs per report', 'leader, ms per second', 'bytes per report'],
    rows.map((row) => [row.entries, row.named, row.reportUs, row.leaderMs, row.reportBytes]),
  )
  writeJson('quota', rows)
}

function measure(entries: number, named: number) {
  const workspaces = entries * WORKSPACES_PER_ENTRY
  const ledger = new QuotaLedger({
    clock: createSystemClock(),
    limit: () => 1_000_000,
    term: () => 1,
    entries: () => entries,
    windowMs: WINDOW_MS,
    tolerance: { over: 0.1, slack: 120_000 },
  })
  const reports = Array.from({ length: entries }, (_, entry) => createReport(entry, named, workspaces))
  reports.forEach((report) => ledger.applyReport(report))
  const started = performance.now()
  for (let count = 0; count < REPORTS; count += 1) ledger.applyReport(reports[count % entries]!)
  const reportUs = ((performance.now() - started) * 1_000) / REPORTS
  return {
    entries,
    named,
    reportUs: round(reportUs, 1),
    leaderMs: round((reportUs * entries * REPORTS_PER_SECOND) / 1_000, 2),
    reportBytes: JSON.stringify(reports[0]).length,
  }
}

function createReport(entry: number, named: number, workspaces: number): QuotaReport {
  const spent = { life: 'a1b2c3d4e5', recent: 52_345, askedPerSecond: 1_234, demandPerSecond: 1_234 }
  const names = Array.from(
    { length: named },
    (_, index) => `workspace-${(entry * 17 + index * 31) % workspaces}`,
  )
  return { entry: `entry-${entry}`, spent: Object.fromEntries(names.map((name) => [name, spent])) }
}
