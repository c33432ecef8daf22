import type { Random } from '@forkstage/clock'

/** Tokens that one request of the soak declares in all. */
export const REQUEST_TOKENS = 200

const STEADY = 'steady'
const ROTATING = 'turning'
const SMALL = 'small'

/** The quota of the workspace that is asked for much more than it may have. */
export const SMALL_QUOTA = { perSecond: 400, burst: 400, windowS: 8 } as const
/** A sheet's deployment allows a tenth over, and a slack for what entries that are killed forget. */
const SMALL_FACTOR = 1.1
const SMALL_SLACK = 4_000
const SECOND_MS = 1_000

/** How a caller of the soak shows who it is. */
export interface SoakKey {
  /** Absent where the caller shows none. */
  key?: string
  /** The only workspace in whose name the request may run; absent where it must not run at all. */
  workspace?: string
}

/** The tenants of one version: one key stays, one changes with each version, one workspace may spend little. */
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

/** The key that a version brings, and the next one still has. */
export function rotatingKey(version: number): string {
  return `key-turning-${version}`
}

/** Draws who a caller is; most are of the workspace whose key stays. */
export function drawKey(random: Random, version: number): SoakKey {
  const draw = random()
  if (draw < 0.6) return { key: 'key-steady', workspace: STEADY }
  if (draw < 0.75) return { key: 'key-small', workspace: SMALL }
  if (draw < 0.9) return { key: rotatingKey(version), workspace: ROTATING }
  return draw < 0.95 ? { key: 'key-of-no-version' } : {}
}

/** One run as an endpoint saw it. */
export interface ObservedRun {
  request: string
  at: number
  /** As the endpoint was told; absent where it was told none. */
  workspace?: string
  /** Whether the endpoint saw any key. */
  sawKey: boolean
}

/** What does not hold of the runs, given who each caller was. */
export function checkWorkspaceRuns(runs: ObservedRun[], callers: ReadonlyMap<string, SoakKey>): string[] {
  const violations = runs.flatMap((run) => checkRun(run, callers.get(run.request)))
  const maxTokens = maxTokensInWindow(runs.filter((run) => run.workspace === SMALL))
  const { perSecond, burst, windowS } = SMALL_QUOTA
  const allowed = (perSecond * windowS + burst) * SMALL_FACTOR + SMALL_SLACK
  return maxTokens <= allowed
    ? violations
    : [...violations, `${SMALL} spent ${maxTokens} tokens in a window, ${allowed} may be`]
}

function checkRun(run: ObservedRun, caller: SoakKey | undefined): string[] {
  const violations: string[] = []
  if (run.sawKey) violations.push(`the key of ${run.request} reached an endpoint`)
  if (caller?.workspace === undefined) violations.push(`${run.request} ran without a key of any workspace`)
  else if (run.workspace !== caller.workspace)
    violations.push(`${run.request} ran as ${run.workspace}, its key is of ${caller.workspace}`)
  return violations
}

function maxTokensInWindow(runs: ObservedRun[]): number {
  const times = runs.map(({ at }) => at).sort((left, right) => left - right)
  let maxTokens = 0
  for (let first = 0, last = 0; last < times.length; last += 1) {
    while (times[last]! - times[first]! > SMALL_QUOTA.windowS * SECOND_MS) first += 1
    maxTokens = Math.max(maxTokens, (last - first + 1) * REQUEST_TOKENS)
  }
  return maxTokens
}
