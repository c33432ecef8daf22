// Bundles each program into one CommonJS file under dist/, for running and for the single binary. Programs that run
// one role of the deployment get V8's code cache beside them, and a small loader in front.
import { execFileSync } from 'node:child_process'
import { copyFileSync, readFileSync, rmSync } from 'node:fs'
import { build } from 'esbuild'
import { parse } from 'smol-toml'
import { programOptions, programs, roleOptions, rolePrograms } from './bundleOptions.mjs'

const DEPLOY_FILE = 'deploy/system.toml'

/** Programs named on the command line, or all. */
const wanted = process.argv.slice(2)
const outdir = process.env.FORKSTAGE_DIST ?? 'dist'

function bundle(entries, options) {
  const chosen = Object.entries(entries).filter(([name]) => wanted.length === 0 || wanted.includes(name))
  const entryPoints = Object.fromEntries(chosen)
  return build({ ...options, entryPoints, outdir }).then(() => Object.keys(entryPoints))
}

/** The flags of a role's process: V8 takes a code cache only where it was made with the same ones. */
function flagsOf(role) {
  const { run } = parse(readFileSync(DEPLOY_FILE, 'utf8')).roles[role]
  return run.split(' ').filter((word) => word.startsWith('--'))
}

/** Without its cache a program starts all the same, only slower, and says so. */
function makeCodeCache(role) {
  const base = `${outdir}/${role}`
  rmSync(`${base}.cache`, { force: true })
  copyFileSync('scripts/startWithCodeCache.cjs', `${base}.cjs`)
  const maker = ['scripts/makeCodeCache.cjs', `${base}.bundle.cjs`, `${base}.cache`, role]
  try {
    execFileSync(process.execPath, [...flagsOf(role), ...maker], { stdio: ['ignore', 'ignore', 'inherit'] })
  } catch (error) {
    console.error(`${role}: no code cache: ${error.message}`)
  }
}

await bundle(programs, programOptions)
const roles = await bundle(rolePrograms, roleOptions)
roles.forEach(makeCodeCache)
