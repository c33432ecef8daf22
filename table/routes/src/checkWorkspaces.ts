import { checkRegions } from './checkRegions'
import { shortKeyDigest } from './keyDigest'
import type { Workspace, WorkspaceQuota } from './routeTypes'

/** Keys and names are sent in headers: visible ASCII without spaces, and without commas, which separate values. */
const HEADER_SAFE = /^[!-+\--~]+$/
/** Maximum length of a key; longer keys would leave too little of the header limit for other headers. */
export const MAX_KEY_CHARS = 1_024
const UNITS = ['requests', 'tokens']

/**
 * Checks the workspaces of a sheet, including the types of their fields, which have not been validated before.
 * @returns one message per fault; empty if the workspaces are valid. Keys appear only as digests.
 */
export function checkWorkspaces(workspaces: Workspace[]): string[] {
  if (!Array.isArray(workspaces)) return ['workspaces: a list is needed']
  const faults = workspaces.flatMap((workspace, index) => checkWorkspace(workspace, index))
  // Duplicates can be found only if every row is valid.
  return faults.length > 0 ? faults : [...findDuplicateNames(workspaces), ...findDuplicateKeys(workspaces)]
}

function checkWorkspace(workspace: Workspace, index: number): string[] {
  const { name, keys, priority, quota } = workspace
  const isNamed = typeof name === 'string' && HEADER_SAFE.test(name)
  const label = isNamed ? `workspace ${name}` : `workspace number ${index + 1}`
  const faults: string[] = []
  if (!isNamed) faults.push(`${label}: name: a string without spaces or commas is needed`)
  if (!Array.isArray(keys)) faults.push(`${label}: keys: a list is needed`)
  else if (!keys.every(isKey))
    faults.push(`${label}: keys: each must be a string of 1 to ${MAX_KEY_CHARS} characters`)
  if (!Number.isSafeInteger(priority) || priority < 0)
    faults.push(`${label}: priority: a non-negative integer is needed`)
  faults.push(...checkRegions(label, workspace.regions))
  return quota === undefined ? faults : [...faults, ...checkQuota(label, quota)]
}

function isKey(key: unknown): boolean {
  return typeof key === 'string' && key.length <= MAX_KEY_CHARS && HEADER_SAFE.test(key)
}

function checkQuota(label: string, quota: WorkspaceQuota): string[] {
  const { unit, perSecond, burst, plainTokens } = quota
  const amounts = { 'rate a second': perSecond, burst, 'tokens of a plain request': plainTokens }
  const faults = Object.entries(amounts)
    .filter(([, amount]) => !Number.isFinite(amount) || amount < 0)
    .map(([field]) => `${label}: ${field}: a non-negative number is needed`)
  return UNITS.includes(unit) ? faults : [...faults, `${label}: unit: must be requests or tokens`]
}

function findDuplicateNames(workspaces: Workspace[]): string[] {
  const seen = new Set<string>()
  const faults: string[] = []
  for (const { name } of workspaces) {
    if (seen.has(name)) faults.push(`workspace ${name}: another one has this name`)
    seen.add(name)
  }
  return faults
}

function findDuplicateKeys(workspaces: Workspace[]): string[] {
  const owners = new Map<string, string>()
  const faults: string[] = []
  for (const { name, keys } of workspaces)
    for (const key of keys) {
      const owner = owners.get(key)
      if (owner !== undefined && owner !== name)
        faults.push(`workspace ${name}: workspace ${owner} has its key ${shortKeyDigest(key)} too`)
      owners.set(key, name)
    }
  return faults
}
