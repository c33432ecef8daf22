import { execFile } from 'node:child_process'
import { copyFile, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

const run = promisify(execFile)
const FLAGS = ['--max-old-space-size=90', '--max-semi-space-size=2']
/** Minimal program: prints what the loader found and, for the script that makes the cache, that it has started. */
const BUNDLE = `process.stdout.write(JSON.stringify({ cache: globalThis.forkstageCodeCache ?? null, name: module.exports !== undefined }) + '"box.started"\\n')`

let folder: string
const at = (name: string) => join(folder, name)

async function make(flags = FLAGS): Promise<void> {
  await run(process.execPath, [
    ...flags,
    'scripts/makeCodeCache.cjs',
    at('p.bundle.cjs'),
    at('p.cache'),
    'entry',
  ])
}

/** Starts the program and returns what it reports about its cache. */
async function start(flags = FLAGS): Promise<string> {
  const { stdout } = await run(process.execPath, [...flags, at('p.cjs')])
  return JSON.parse(stdout.slice(0, stdout.indexOf('}') + 1)).cache
}

describe('start with the code cache', () => {
  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'forkstage-cache-test-'))
    await copyFile('scripts/startWithCodeCache.cjs', at('p.cjs'))
    await writeFile(at('p.bundle.cjs'), BUNDLE)
  })
  afterEach(() => rm(folder, { recursive: true, force: true }))

  it('uses the cache made by the build', async () => {
    await make()
    expect(await start()).toBe('used')
  })

  it('starts without a cache', async () => {
    expect(await start()).toBe('missing')
  })

  it('starts without the cache if the flags differ', async () => {
    await make()
    expect(await start(['--max-old-space-size=120'])).toBe('refused by this node or its flags')
  })

  it('never runs the code of an older bundle, even of the same length', async () => {
    await make()
    const newer = BUNDLE.replace('name:', 'nema:')
    await writeFile(at('p.bundle.cjs'), newer)
    expect(newer.length).toBe(BUNDLE.length)
    expect(await start()).toBe('damaged, or of another bundle')
  })

  it('ignores a damaged or truncated cache', async () => {
    await make()
    const whole = await readFile(at('p.cache'))
    const damaged = Buffer.from(whole)
    damaged[whole.length - 9] = damaged[whole.length - 9]! ^ 1
    await writeFile(at('p.cache'), damaged)
    expect(await start()).toBe('damaged, or of another bundle')
    await writeFile(at('p.cache'), whole.subarray(0, 40))
    expect(await start()).toBe('damaged, or of another bundle')
    await writeFile(at('p.cache'), '')
    expect(await start()).toBe('damaged, or of another bundle')
  })
})
