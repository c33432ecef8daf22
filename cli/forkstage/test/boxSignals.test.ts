import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'esbuild'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { programOptions, programs } from '../../../scripts/bundleOptions.mjs'
import { MachineProcess, SettingsPipe } from './machineProcess'

const SETTINGS = `[box]
name = "box"
domain = "a"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[peers]
shared_key = "a key for this test alone"
[control]
replicas = [{ box = "other", address = "127.0.0.1:9" }]
[stop]
unready_ms = 1
drain_ms = 1
[[callers]]
name = "caller"
token = "a token of a caller"
[[operators]]
name = "operator"
token = "a token of an operator"
`

let folder: string
let box: MachineProcess

/** Starts a box and sends it a signal while it reads its settings. */
async function startUnderSignal(signal: NodeJS.Signals): Promise<void> {
  const settingsPath = join(folder, 'box.toml')
  const settings = new SettingsPipe(settingsPath)
  await settings.create()
  box = new MachineProcess(join(folder, 'forkstage.cjs'), settingsPath, ['run', '--settings', settingsPath])
  await settings.waitForReader()
  box.kill(signal)
  await settings.answer(SETTINGS)
}

describe('signals while a box starts', () => {
  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'forkstage-box-test-'))
    await build({ ...programOptions, entryPoints: { forkstage: programs.forkstage }, outdir: folder })
  })
  afterEach(async () => {
    box.kill('SIGKILL')
    await rm(folder, { recursive: true, force: true })
  })

  it('do not end the process, which has no settings to reload, at SIGHUP', async () => {
    await startUnderSignal('SIGHUP')
    await box.waitFor('box.started')
    box.kill('SIGHUP')
    box.kill('SIGTERM')
    expect(await box.end).toEqual({ code: 0, signal: null })
  })

  it('stop the box in order at SIGTERM', async () => {
    await startUnderSignal('SIGTERM')
    expect(await box.end).toEqual({ code: 0, signal: null })
    expect(box.lines.at(-1)).toMatchObject({ event: 'box.stopped', cut: 0 })
  })
})
