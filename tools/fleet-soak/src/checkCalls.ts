import type { CallRecord } from './soakCallers'

/** Statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

const REPEATABLE_KINDS = new Set<CallRecord['kind']>(['safe', 'large', 'long'])
const STREAM_KINDS = new Set<CallRecord['kind']>(['stream', 'long', 'once'])

/** Checks the calls against how often each request ran, by its id; returns one text for each violation. */
export function checkCalls(calls: CallRecord[], runs: ReadonlyMap<string, number>): string[] {
  return calls.flatMap((call) => [...checkRuns(call, runs.get(call.id) ?? 0), ...checkAnswer(call)])
}

function checkRuns(call: CallRecord, runs: number): string[] {
  if (REPEATABLE_KINDS.has(call.kind)) return []
  const violations: string[] = []
  if (runs > 1) violations.push(`${call.id} (${call.kind}) ran ${runs} times`)
  if (NOT_RUN_STATUSES.has(call.status) && runs > 0)
    violations.push(`${call.id} (${call.kind}) was answered ${call.status} and ran`)
  return violations
}

function checkAnswer(call: CallRecord): string[] {
  if (call.status !== 200 || !call.isWhole) return []
  if (call.stamp !== `stamp-${call.id}`) return [`${call.id} got the stamp ${call.stamp}`]
  const expected = STREAM_KINDS.has(call.kind) ? expectedStream(call.id, call.body) : `answer to ${call.id}`
  return call.body !== '' && call.body === expected
    ? []
    : [`${call.id} (${call.kind}) got a body that is incomplete or not its own`]
}

/** Returns the complete stream of a request, with the number of events that the last event of its body states. */
function expectedStream(id: string, body: string): string {
  const count = Number(/ of (\d+)\n\n$/.exec(body)?.[1] ?? 0)
  return Array.from(
    { length: count },
    (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1} of ${count}\n\n`,
  ).join('')
}
