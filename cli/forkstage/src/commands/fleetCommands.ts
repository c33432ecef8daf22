import type { Argv } from 'yargs'
import type { BoxReport, Explanation, FleetStatus } from '@forkstage/operator-api'
import { VERSION } from '@forkstage/daemon'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print, printTable } from '../print'

interface ExplainArguments extends BoxArguments {
  request: string
}

interface ReplaceArguments extends BoxArguments {
  lost: string
  with: string
}

interface OrderArguments extends BoxArguments {
  endpoint: string
  action: string
  argument: string
}

const REPLACE_TIMEOUT_MS = 130_000

/** `forkstage status`. */
export const statusCommand: Command<BoxArguments> = {
  command: 'status',
  help: 'Show every box: the version in force and since when, readiness, requests, replicas',
  options: (argv) =>
    withBox(argv).example('$0 status', 'boxes that are cut off show until when they may act'),
  async handler(args) {
    const status = await callBox<FleetStatus>(args, '/v1/status')
    if (args.json) print(JSON.stringify(status, null, 2))
    else printStatus(status)
    return EXIT.ok
  },
}

function printStatus(status: FleetStatus): void {
  if (status.control === undefined) print(`no account from the control leader: ${status.controlFailure}`)
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
    ['box', 'domain', 'state', 'version', 'for', 'heard ago', 'may act for', 'ready', 'running', 'queued'],
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
        ? `takes no part: ${replica.failure}`
        : `${replica.role}, term ${replica.term}, ${replica.commitIndex} of ${replica.lastIndex} committed, ${replica.config.voters.length} voters`
    print(`${report.box} ${replica.group}: ${state}`)
  }
}

/** `forkstage explain`. */
export const explainCommand: Command<ExplainArguments> = {
  command: 'explain <request>',
  help: 'Tell the story of a request across boxes',
  options: (argv: Argv) =>
    withBox(argv)
      .positional('request', {
        type: 'string',
        demandOption: true,
        describe: 'the id from the header x-forkstage-request',
      })
      .example('$0 explain bole-1~3f2a~k', 'claim, decisions, attempts, releases'),
  async handler(args) {
    const explanation = await callBox<Explanation>(args, `/v1/explain/${encodeURIComponent(args.request)}`)
    if (args.json) print(JSON.stringify(explanation, null, 2))
    else printExplanation(explanation)
    return explanation.story.length > 0 || explanation.claim !== undefined ? EXIT.ok : EXIT.failed
  },
}

function printExplanation({ request, claim, story, missing }: Explanation): void {
  print(`request ${request}`)
  if (claim === undefined) print('claim: none in the journal')
  else
    print(
      `claim: epoch ${claim.epoch}, owner ${claim.owner.box}, ${claim.outcome === undefined ? 'open' : `outcome ${claim.outcome.execution} ${claim.outcome.status}`}`,
    )
  const first = story[0]?.at ?? 0
  for (const line of story)
    print(
      `${`+${line.at - first} ms`.padStart(10)}  ${line.box.padEnd(10)} ${line.step.padEnd(20)} ${JSON.stringify(line.detail)}`,
    )
  if (story.length === 0) print('no box keeps its story (any more)')
  for (const box of missing) print(`${box} did not answer: its lines are missing`)
}

/** `forkstage stop`. */
export const stopCommand: Command<BoxArguments> = {
  command: 'stop',
  help: 'Stop a box as planned: unready first, then every request ends, then it exits',
  options: (argv) => withBox(argv).example('$0 stop --box 127.0.0.1:7101', 'a second stop cuts short'),
  async handler(args) {
    await callBox(args, '/v1/stop', { method: 'POST' })
    print(`${args.box} is stopping`)
    return EXIT.ok
  },
}

/** `forkstage control replace`. */
export const controlReplaceCommand: Command<ReplaceArguments> = {
  command: 'control replace',
  help: "Replace a lost box's replicas by those of another box, one step at a time",
  options: (argv: Argv) =>
    withBox(argv)
      .option('lost', {
        type: 'string',
        demandOption: true,
        describe: 'the name of the box whose disk is lost',
      })
      .option('with', {
        type: 'string',
        demandOption: true,
        describe: 'the peer address of the box that takes its place',
      })
      .example('$0 control replace --lost bole-1 --with 127.0.0.1:7204', 'may be run again after a failure'),
  async handler(args) {
    const body = { lost: args.lost, withAddress: args.with }
    const replaced = await callBox(args, '/v1/control/replace', {
      method: 'POST',
      body,
      timeoutMs: REPLACE_TIMEOUT_MS,
    })
    print(JSON.stringify(replaced, null, args.json ? 0 : 2))
    return EXIT.ok
  },
}

/** `forkstage order`. */
export const orderCommand: Command<OrderArguments> = {
  command: 'order <endpoint> <action> <argument>',
  help: 'Give an engine a fenced order: loadModel, loadAdapter, setVersion or setRole',
  options: (argv: Argv) =>
    withBox(argv)
      .positional('endpoint', { type: 'string', demandOption: true })
      .positional('action', {
        type: 'string',
        demandOption: true,
        choices: ['loadModel', 'loadAdapter', 'setVersion', 'setRole'],
      })
      .positional('argument', { type: 'string', demandOption: true })
      .example('$0 order kelem-p1 loadModel kelem-7b', 'the fence it went out under is printed'),
  async handler(args) {
    const { endpoint, action, argument } = args
    const { fence } = await callBox<{ fence: number }>(args, '/v1/orders', {
      method: 'POST',
      body: { endpoint, action, argument },
    })
    print(args.json ? JSON.stringify({ fence }) : `taken under fence ${fence}`)
    return EXIT.ok
  },
}

/** `forkstage version`. */
export const versionCommand: Command = {
  command: 'version',
  help: 'Print the version',
  options: (argv) => argv,
  async handler() {
    print(VERSION)
    return EXIT.ok
  },
}
