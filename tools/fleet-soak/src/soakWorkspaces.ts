import type { Random } from '@forkstage/clock'

/** Tokens that one request of the soak declares in total. */
export const REQUEST_TOKENS = 200

const STEADY = 'steady'
const ROTATING = 'turning'
const SMALL = 'small'

/** Quota of a workspace whose callers exceed it by far. */
export const SMALL_QUOTA = { perSecond: 400, burst: 400, windowS: 8 } as const
/** Spending may exceed the quota by a tenth, plus a slack for what killed entries forget. */
const SMALL_FACTOR = 1.1
const SMALL_SLACK = 4_000
const SECOND_MS = 1_000

/** The credential of a caller. */
export interface SoakKey {
  /** Undefined when the caller sends no key. */
  key?: string
  /** The only workspace as which the request may run; undefined when it must not run at all. */
  workspace?: string
}

/** Returns the tenants of a sheet version: one with a fixed key, one whose keys rotate, one with a small quota. */
export function soakTenants(version: number): object[] {
  const common = { priority: 1, unit: 'tokens', plain_tokens: REQUEST_TOKENS }
  return [
    { ...common, name: STEADY, api_keys: ['key-steady'] },
    { ...common, name: ROTATING, api_keys: [rotatingKey(version), rotatingKey(version - 1)] },
    {
      ...common,
      name: SMALL,
      api_keys: ['key-small'],
      rate_per_s: SMALL_QUOTA.perSecond,
      burst: SMALL_QUOTA.burst,
    },
  ]
}

/** Returns the key that a version adds; the next version still accepts it. */
export function rotatingKey(version: number): string {
  return `key-turning-${version}`
}

/** Draws the key of a caller; most belong to the workspace with the fixed key. */
export function drawKey(random: Random, version: number): SoakKey {
  const draw = random()
  if (draw < 0.6) return { key: 'key-steady', workspace: STEADY }
  if (draw < 0.75) return { key: 'key-small', workspace: SMALL }
  if (draw < 0.9) return { key: rotatingKey(version), workspace: ROTATING }
  return draw < 0.95 ? { key: 'key-of-no-version' } : {}
}

/** One run as an endpoint observed it. */
export interface ObservedRun {
  request: string
  /** Unix milliseconds. */
  at: number
  /** Workspace that the request named; undefined when it named none. */
  workspace?: string
  /** Whether the endpoint received an API key. */
  sawKey: boolean
}

/** Checks the workspace and quota of the runs against the keys of their callers, by request id; returns the violations. */
export function checkWorkspaceRuns(runs: ObservedRun[], callers: ReadonlyMap<string, SoakKey>): string[] {
  const violations = runs.flatMap((run) => checkRun(run, callers.get(run.request)))
  const maxTokens = maxTokensInWindow(runs.filter((run) => run.workspace === SMALL))
  const { perSecond, burst, windowS } = SMALL_QUOTA
  const allowed = (perSecond * windowS + burst) * SMALL_FACTOR + SMALL_SLACK
  return maxTokens <= allowed
    ? violations
    : [...violations, `${SMALL} spent ${maxTokens} tokens in a window, ${allowed} are allowed`]
}

function checkRun(run: ObservedRun, caller: SoakKey | undefined): string[] {
  const violations: string[] = []
  if (run.sawKey) violations.push(`the key of ${run.request} reached an endpoint`)
  if (caller?.workspace === undefined) violations.push(`${run.request} ran without a key of any workspace`)
  else if (run.workspace !== caller.workspace)
    violations.push(`${run.request} ran as ${run.workspace}, its key is of ${caller.workspace}`)
  return violations
}

/** Returns the most tokens that runs spent in any window of the quota. */
function maxTokensInWindow(runs: ObservedRun[]): number {
  const times = runs.map(({ at }) => at).sort((left, right) => left - right)
  let maxTokens = 0
  for (let first = 0, last = 0; last < times.length; last += 1) {
    while (times[last]! - times[first]! > SMALL_QUOTA.windowS * SECOND_MS) first += 1
    maxTokens = Math.max(maxTokens, (last - first + 1) * REQUEST_TOKENS)
  }
  return maxTokens
}
