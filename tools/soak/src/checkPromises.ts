import got from 'got'
import { waitUntil, type Deployment } from '@forkstage/deployment'
import type { EngineHold } from '@forkstage/engine-client'
import type { EngineRecord, PlainCall } from '@forkstage/fakes'
import type { VersionedTable } from '@forkstage/types'
import type { KeyRecord, SoakCallers } from './soakCallers'
import type { SoakOperators } from './soakOperators'

/** Checks the promises of docs/PROMISES.md against the stand-ins' own records; returns one text for each violation. */
export async function checkPromises(
  deployment: Deployment,
  callers: SoakCallers,
  operators: SoakOperators,
): Promise<string[]> {
  const engines = [...deployment.ports.prefill, ...deployment.ports.decode]
  const records = await Promise.all(engines.map((port) => read<EngineRecord>(port, '/record')))
  const calls = (
    await Promise.all(deployment.ports.plain.map((port) => read<PlainCall[]>(port, '/record')))
  ).flat()
  return [
    ...(await checkNothingHeld(engines)),
    ...callers.chats.flatMap((chat) => checkChat(chat, records)),
    ...callers.saves.flatMap((save) => checkSave(save, calls)),
    ...operators.violations,
    ...(await checkTables(deployment, operators)),
    ...checkLogs(deployment),
  ]
}

async function checkNothingHeld(engines: number[]): Promise<string[]> {
  const held = async () =>
    (await Promise.all(engines.map((port) => read<EngineHold[]>(port, '/v1/holds')))).flat()
  try {
    await waitUntil(async () => (await held()).length === 0, {
      what: 'every hold to be released',
      timeoutMs: 30_000,
    })
    return []
  } catch {
    return (await held()).map(
      (hold) => `${hold.kind} of ${hold.request} is still held after ${Math.round(hold.ageMs)} ms`,
    )
  }
}

function checkChat(chat: KeyRecord, records: EngineRecord[]): string[] {
  const violations: string[] = []
  if (!chat.answered) violations.push(`${chat.key} got no answer: ${chat.executions.join(', ')}`)
  if (new Set(chat.answers).size > 1) violations.push(`${chat.key} got different answers`)
  violations.push(
    ...chat.executions
      .filter((each) => each.startsWith('event'))
      .map((gap) => `${chat.key} had a missing or duplicate event: ${gap}`),
  )
  for (const request of chat.notRun) {
    const wasBegun = records.some((record) => record.begun[request] !== undefined)
    if (wasBegun) violations.push(`${request} was reported as not run but an engine had begun it`)
  }
  return violations
}

function checkSave(save: KeyRecord, calls: PlainCall[]): string[] {
  const times = calls.filter((call) => call.key === save.key).length
  const violations: string[] = []
  if (times > 1) violations.push(`${save.key} ran ${times} times`)
  if (save.answered && times !== 1) violations.push(`${save.key} was answered but ran ${times} times`)
  const onlyNotRun = save.executions.every((each) => each === 'not-run')
  if (onlyNotRun && times > 0) violations.push(`${save.key} was reported as not run but ran`)
  return violations
}

async function checkTables(deployment: Deployment, operators: SoakOperators): Promise<string[]> {
  const newest = Math.max(0, ...operators.accepted.map((each) => each.version))
  const violations: string[] = []
  for (const box of deployment.boxes) {
    const { version } = await deployment.callOperator<VersionedTable>(box, 'GET', '/v1/table')
    if (version < newest) violations.push(`${box.name} is on version ${version}, but ${newest} was accepted`)
  }
  return violations
}

/** Finds log lines in which a box reports a broken invariant. */
function checkLogs(deployment: Deployment): string[] {
  return deployment.boxes.flatMap((box) =>
    (box.process?.lines ?? [])
      .filter((line) => line.includes('invariant'))
      .map((line) => `${box.name}: ${line.slice(0, 300)}`),
  )
}

function read<Body>(port: number, path: string): Promise<Body> {
  return got(`http://127.0.0.1:${port}${path}`).json<Body>()
}
