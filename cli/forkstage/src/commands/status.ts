import type { BoxReport, FleetStatus } from '@forkstage/operator-api'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { fetchEvacuations, withControl, type ControlArguments } from '../controlClient'
import { callBox, withBox } from '../operatorClient'
import { print, printTable } from '../print'

/** `forkstage status`. */
export const statusCommand: Command<BoxArguments & ControlArguments> = {
  command: 'status',
  help: 'Show for every box the version in force and its age, readiness, requests and replicas',
  options: (argv) =>
    withControl(withBox(argv))
      .example('$0 status', 'shows how long an unreachable box may act on its table')
      .example(
        '$0 status --control 10.0.0.1:9001',
        'evacuated domains known to each of these control machines',
      ),
  async handler(args) {
    if (args.control.length > 0) return printEvacuations(args)
    const status = await callBox<FleetStatus>(args, '/v1/status')
    if (args.json) print(JSON.stringify(status, null, 2))
    else printStatus(status)
    return EXIT.ok
  },
}

async function printEvacuations({ control, json }: ControlArguments): Promise<number> {
  const reports = await fetchEvacuations(control)
  if (json) print(JSON.stringify(reports, null, 2))
  else
    printTable(
      ['control', 'evacuated', 'since index'],
      reports.map(({ address, known, reason }) =>
        known === undefined
          ? [address, `unknown: ${reason}`, '-']
          : [address, known.domains.join(', ') || 'none', known.index],
      ),
    )
  return reports.some(({ known }) => known !== undefined) ? EXIT.ok : EXIT.failed
}

function printStatus(status: FleetStatus): void {
  if (status.control === undefined) print(`no status from the control leader: ${status.controlFailure}`)
  else print(`table version ${status.control.version}  digest ${status.control.digest.slice(0, 12)}`)
  const reports = new Map(status.boxes.map((box) => [box.box, box]))
  const rows = (status.control?.boxes ?? []).map((box) => {
    const report = reports.get(box.box)
    const known = report !== undefined && 'ready' in report ? report : undefined
    return [
      box.box,
      box.domain,
      box.state,
      box.version,
      `${box.versionForMs} ms`,
      `${box.heardAgoMs} ms`,
      `${box.leaseLeftMs} ms`,
      readiness(known),
      known?.running ?? '-',
      known?.queued ?? '-',
    ]
  })
  printTable(
    ['box', 'domain', 'state', 'version', 'for', 'last contact', 'lease left', 'ready', 'running', 'queued'],
    rows,
  )
  for (const report of reports.values()) if ('replicas' in report) printReplicas(report)
}

function readiness(report: BoxReport | undefined): string {
  if (report === undefined) return '-'
  return report.ready ? 'yes' : `no: ${report.refuses ?? 'leaving'}`
}

function printReplicas(report: BoxReport): void {
  for (const replica of report.replicas) {
    const state =
      'failure' in replica
        ? `not running: ${replica.failure}`
        : `${replica.role}, term ${replica.term}, ${replica.commitIndex} of ${replica.lastIndex} committed, ${replica.config.voters.length} voters`
    print(`${report.box} ${replica.group}: ${state}`)
  }
}
