import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import {
  ADDIS,
  CALLER_TOKEN,
  Deployment,
  OPERATOR_TOKEN,
  sendChat,
  sendPlain,
  type BoxHandle,
} from '@forkstage/deployment'

const PORT_BASE = 21_000
const HANDBOOK_WORDS = 1_500

const print = (text: string) => void process.stdout.write(`${text}\n`)

/** A step of the demo failed. */
class DemoFailure extends Error {}

function check(condition: boolean, reason: string): void {
  if (!condition) throw new DemoFailure(reason)
}

async function step<Result>(name: string, run: () => Promise<Result>): Promise<Result> {
  const started = Date.now()
  try {
    const result = await run()
    print(`ok    ${name} (${Date.now() - started} ms)`)
    return result
  } catch (error) {
    throw new DemoFailure(`${name}: ${error instanceof Error ? error.message : String(error)}`)
  }
}

async function serve(deployment: Deployment): Promise<string[]> {
  const [first, second, third] = deployment.boxes as [BoxHandle, BoxHandle, BoxHandle]
  const handbook = 'valve gate reading seal '.repeat(HANDBOOK_WORDS / 4)
  const answerCheck = await step(`answer check, streamed, through ${first.name}`, async () => {
    const headers = { 'idempotency-key': 'demo-check-1', 'x-forkstage-class': 'answer-check' }
    const answer = await sendChat(first, {
      model: ADDIS.model,
      prompt: `${handbook} Is the seal intact? [[answer=12]]`,
      headers,
    })
    check(answer.whole && answer.tokens === 12, `the answer is not complete: ${JSON.stringify(answer)}`)
    return answer
  })
  print(
    `      ${answerCheck.tokens} tokens, first after ${Math.round(answerCheck.ttftMs ?? 0)} ms: "${answerCheck.text}"`,
  )
  const hint = await step(`hint, not streamed, through ${second.name}`, async () => {
    const answer = await sendChat(second, {
      model: ADDIS.model,
      prompt: `${handbook} Give a hint.`,
      stream: false,
      headers: { 'x-forkstage-class': 'hint' },
    })
    check(answer.whole, `the answer is not complete: ${JSON.stringify(answer)}`)
    return answer
  })
  print(`      ${hint.tokens} tokens: "${hint.text}"`)
  const save = () =>
    sendPlain(third, `/${ADDIS.plainService}/saves/reader-7`, {
      method: 'POST',
      body: 'card 12 known',
      headers: { 'idempotency-key': 'demo-save-1', 'content-type': 'text/plain' },
    })
  const saved = await step(`progress save through ${third.name}`, async () => {
    const answer = await save()
    check(answer.status === 200 && answer.execution === 'ran', `status ${answer.status}, ${answer.execution}`)
    return answer
  })
  await step('the same save again: the first answer is replayed, the save does not run twice', async () => {
    const again = await save()
    check(
      again.headers['x-forkstage-replayed'] === 'true' && again.body.equals(saved.body),
      `not replayed: status ${again.status}`,
    )
  })
  return [answerCheck.request, hint.request, saved.request]
}

function printDecisions(deployment: Deployment, requests: string[]): void {
  for (const box of deployment.boxes) {
    for (const line of box.process?.lines ?? []) {
      if (line.includes('"placement.decided"') && requests.some((request) => line.includes(`"${request}"`)))
        print(line)
    }
  }
}

function printCurlLines(deployment: Deployment): void {
  const [box] = deployment.boxes as [BoxHandle]
  print('\nThe deployment keeps running. Try:')
  print(
    `  curl -N -H 'authorization: Bearer ${CALLER_TOKEN}' -d '{"model":"${ADDIS.model}","stream":true,"messages":[{"role":"user","content":"Is the seal intact?"}]}' http://${box.callers}/v1/chat/completions`,
  )
  print(`  curl -H 'authorization: Bearer ${OPERATOR_TOKEN}' http://${box.operators}/v1/status`)
  print(`  node dist/forkstage.cjs status --box ${box.operators} --token ${OPERATOR_TOKEN}`)
  print('Stop it with Ctrl-C.')
}

async function run(keep: boolean): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-demo-'))
  const deployment = new Deployment({ site: ADDIS, folder, portBase: PORT_BASE })
  try {
    await step(`start ${deployment.boxes.length} boxes, 3 of them control, and the stand-ins`, () =>
      deployment.start(),
    )
    const accepted = await step('confirm the first table', () => deployment.confirm(deployment.table))
    check(accepted.outcome === 'accepted', `the table was not accepted: ${JSON.stringify(accepted)}`)
    await step('the table is in force and every box is ready', async () => {
      await deployment.waitInForce(accepted.version)
      await deployment.waitReady()
    })
    const requests = await serve(deployment)
    print('\nPlacement decisions:')
    printDecisions(deployment, requests)
    if (keep) {
      printCurlLines(deployment)
      await new Promise<void>((resolve) => process.once('SIGINT', resolve))
    }
    const codes = await step('stop every box gracefully', () => deployment.stop())
    check(
      Object.values(codes).every((code) => code === 0),
      `exit codes ${JSON.stringify(codes)}`,
    )
    print(
      `\nDone: version ${accepted.version} in force on ${deployment.boxes.length} boxes, 4 requests served, all boxes exited with 0.`,
    )
  } catch (error) {
    await deployment.stop('SIGKILL')
    throw error
  } finally {
    rmSync(folder, { recursive: true, force: true })
  }
}

async function main(): Promise<void> {
  const { keep } = await yargs(hideBin(process.argv))
    .option('keep', {
      type: 'boolean',
      default: false,
      describe: 'keep the deployment running and print curl commands to try',
    })
    .strict()
    .parse()
  await run(keep)
}

main().then(
  () => process.exit(0),
  (error: unknown) => {
    process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exit(1)
  },
)
