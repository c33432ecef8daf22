import { randomUUID } from 'node:crypto'
import type { Argv } from 'yargs'
import type { BoxStatus, ControlStatus } from '@forkstage/control'
import type { ConfirmAnswer } from '@forkstage/operator-api'
import type { VersionedTable } from '@forkstage/types'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'
import { readTableBase, readTableFolder, writeTableFolder } from '../tableFiles'

interface ConfirmArguments extends BoxArguments {
  folder: string
  id?: string
  base?: number
  wait: boolean
  waitMs: number
}

const POLL_INTERVAL_MS = 100

/** `forkstage table confirm`. */
export const tableConfirmCommand: Command<ConfirmArguments> = {
  command: 'table confirm <folder>',
  help: 'Confirm a table: accepted once, by compare-and-set on the version it was made from',
  options: (argv: Argv) =>
    withBox(argv)
      .positional('folder', {
        type: 'string',
        demandOption: true,
        describe: 'a folder with endpoints.csv and links.csv',
      })
      .option('id', {
        type: 'string',
        describe: 'the confirm id; give the same one to resend after a lost reply',
      })
      .option('base', {
        type: 'number',
        describe: 'the version the table was made from (default: as exported, else the newest)',
      })
      .option('wait', {
        type: 'boolean',
        default: false,
        describe: 'wait until the table is in force on every box',
      })
      .option('wait-ms', { type: 'number', default: 15_000, describe: 'how long to wait' })
      .example(
        '$0 table confirm edit/ --wait',
        'exit code 3 on a conflict, 4 when not in force everywhere in time',
      ),
  handler: confirm,
}

async function confirm(args: ConfirmArguments): Promise<number> {
  const table = await readTableFolder(args.folder)
  const base =
    args.base ??
    (await readTableBase(args.folder))?.version ??
    (await callBox<VersionedTable>(args, '/v1/table')).version
  const confirmId = args.id ?? randomUUID()
  // Printed before the call, since the id is needed for a resend if the reply is lost.
  if (!args.json) print(`confirm id ${confirmId}, from version ${base}`)
  const answer = await callBox<ConfirmAnswer>(args, '/v1/table/confirm', {
    method: 'POST',
    body: { base, confirmId, table },
  })
  if (answer.outcome === 'conflict') return printConflict(args, answer)
  await writeTableFolder(args.folder, table, { version: answer.version, digest: answer.digest })
  const boxes = args.wait ? await waitInForce(args, answer.version) : undefined
  const missing = boxes?.filter((box) => !isInForce(box, answer.version)) ?? []
  if (args.json) print(JSON.stringify({ ...answer, confirmId, missing }))
  else printAccepted(answer.version, boxes, missing)
  return missing.length === 0 ? EXIT.ok : EXIT.notInForce
}

function printConflict(
  args: ConfirmArguments,
  answer: Extract<ConfirmAnswer, { outcome: 'conflict' }>,
): number {
  if (args.json) print(JSON.stringify(answer))
  else
    print(
      [
        `conflict: ${answer.reason}`,
        'the newest table differs from this one by:',
        ...answer.differences.map((line) => `  ${line}`),
      ].join('\n'),
    )
  return EXIT.conflict
}

function printAccepted(version: number, boxes: BoxStatus[] | undefined, missing: BoxStatus[]): void {
  print(`accepted as version ${version}`)
  if (boxes !== undefined && missing.length === 0)
    print(`in force on all ${boxes.filter((box) => box.leaseLeftMs > 0).length} boxes`)
  for (const box of missing) {
    print(
      `${box.box}: on version ${box.version}, last contact ${box.heardAgoMs} ms ago, lease expires in ${box.leaseLeftMs} ms`,
    )
  }
}

/** Waits until no box can act on an older version: each has the new one, or its lease has expired. */
async function waitInForce(args: ConfirmArguments, version: number): Promise<BoxStatus[]> {
  const end = Date.now() + args.waitMs
  for (;;) {
    const { boxes, settled } = await callBox<ControlStatus>(args, '/v1/control')
    const everywhere = settled && boxes.every((box) => isInForce(box, version))
    if (everywhere || Date.now() > end) return boxes
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

function isInForce(box: BoxStatus, version: number): boolean {
  return box.version >= version || box.leaseLeftMs === 0
}
