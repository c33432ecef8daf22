import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface, type Interface } from 'node:readline'
import { build } from 'esbuild'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { programOptions, programs } from '../../../scripts/bundleOptions.mjs'

/** Starts only as its process's main module, is loaded until there is a file beside it, and then ends at any signal. */
const PROGRAM = `
console.log(require.main === module ? 'main' : 'required')
while (!require('node:fs').existsSync(__dirname + '/gate'));
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT'])
  process.on(signal, () => {
    console.log(signal)
    process.exit(0)
  })
setInterval(() => undefined, 1_000)
`

let folder: string
let child: ChildProcess
let output: Interface
const at = (name: string) => join(folder, name)

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'forkstage-partitionable-test-'))
  const entryPoints = { partitionable: programs.partitionable }
  await build({ ...programOptions, entryPoints, outdir: folder })
  await writeFile(at('program.cjs'), PROGRAM)
  child = spawn(process.execPath, [at('partitionable.cjs'), 'program.cjs'], {
    cwd: folder,
    env: { ...process.env, FORKSTAGE_PARTITION_FILE: at('partition') },
    stdio: ['ignore', 'pipe', 'inherit'],
  })
  output = createInterface({ input: child.stdout! })
})
afterEach(async () => {
  child.kill('SIGKILL')
  await rm(folder, { recursive: true, force: true })
})

describe('partitionable', () => {
  it('runs the program as the main module, as loaders of role programs ask for', async () => {
    expect(await once(output, 'line')).toEqual(['main'])
  })

  it.each(['SIGHUP', 'SIGTERM', 'SIGINT'] as const)(
    'passes signals on that come while the program is loaded: %s',
    async (signal) => {
      await once(output, 'line')
      child.kill(signal)
      const answer = Promise.race([once(output, 'line'), once(child, 'exit')])
      await writeFile(at('gate'), '')
      expect(await answer).toEqual([signal])
    },
  )
})
