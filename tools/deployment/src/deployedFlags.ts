import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'

const DEPLOY_FILE = 'deploy/system.toml'

interface DeployFile {
  roles: Record<string, { run: string }>
}

/** Returns node's flags of a role in the deploy file, which is looked for in the current folder. */
export function deployedFlags(role: string): string[] {
  const { roles } = parse(readFileSync(DEPLOY_FILE, 'utf8')) as unknown as DeployFile
  const run = roles[role]?.run
  if (run === undefined) throw new Error(`${DEPLOY_FILE} has no role "${role}"`)
  return run.split(' ').filter((word) => word.startsWith('--'))
}
