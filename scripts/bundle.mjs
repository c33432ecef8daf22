// Bundles each program into one CommonJS file under dist/, to be run directly or embedded in the binary. A program of
// one role also gets V8's code cache next to its bundle, and a small loader that starts it.
import { execFileSync } from 'node:child_process'
import { mkdirSync, readFileSync } from 'node:fs'
import { build } from 'esbuild'
import { parse } from 'smol-toml'
import { programOptions, programs, roleOptions, rolePrograms } from './bundleOptions.mjs'
import { writeAtomically } from './writeAtomically.mjs'

const DEPLOY_FILE = 'deploy/system.toml'

/** Names of the programs to bundle; all when empty. */
const wanted = process.argv.slice(2)
const outdir = process.env.FORKSTAGE_DIST ?? 'dist'

function bundle(entries, options) {
  const chosen = Object.entries(entries).filter(([name]) => wanted.length === 0 || wanted.includes(name))
  const entryPoints = Object.fromEntries(chosen)
  return build({ ...options, entryPoints, outdir, write: false }).then(({ outputFiles = [] }) => {
    outputFiles.forEach(({ path, contents }) => writeAtomically(path, contents))
    return Object.keys(entryPoints)
  })
}

/** Returns the node flags of a role's process; V8 accepts a code cache only if it was made with the same flags. */
function flagsOf(role) {
  const { run } = parse(readFileSync(DEPLOY_FILE, 'utf8')).roles[role]
  return run.split(' ').filter((word) => word.startsWith('--'))
}

/** Makes a role's code cache. A failure only prints a message: without the cache the program starts more slowly. */
function makeCodeCache(role) {
  const base = `${outdir}/${role}`
  writeAtomically(`${base}.cjs`, readFileSync('scripts/startWithCodeCache.cjs'))
  const maker = ['scripts/makeCodeCache.cjs', `${base}.bundle.cjs`, `${base}.cache`, role]
  try {
    execFileSync(process.execPath, [...flagsOf(role), ...maker], { stdio: ['ignore', 'ignore', 'inherit'] })
  } catch (error) {
    console.error(`${role}: could not make the code cache: ${error.message}`)
  }
}

mkdirSync(outdir, { recursive: true })
await bundle(programs, programOptions)
const roles = await bundle(rolePrograms, roleOptions)
roles.forEach(makeCodeCache)
