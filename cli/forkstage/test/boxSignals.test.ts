import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'esbuild'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { programOptions, programs } from '../../../scripts/bundleOptions.mjs'
import { freePort, MachineProcess, SettingsPipe } from './machineProcess'

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

/** Longer than a request waits for a leader. */
const LONG_DRAIN_MS = 20_000

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

  it('stop the box only once it has answered the requests of operators', async () => {
    const [settingsPath, port] = [join(folder, 'box.toml'), await freePort()]
    const text = SETTINGS.replace('operators = "127.0.0.1:0"', `operators = "127.0.0.1:${port}"`)
    await writeFile(settingsPath, text.replace('drain_ms = 1\n', `drain_ms = ${LONG_DRAIN_MS}\n`))
    box = new MachineProcess(join(folder, 'forkstage.cjs'), settingsPath, ['run', '--settings', settingsPath])
    await box.waitFor('box.started')
    const socket = connect(port, '127.0.0.1')
    await once(socket, 'connect')
    let answer = ''
    socket.on('data', (bytes: Buffer) => (answer += bytes.toString()))
    const closed = once(socket, 'close')
    // Waits for a leader of the journal, of which there is none.
    const head =
      'GET /v1/explain/r HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer a token of an operator\r\n\r\n'
    socket.write(head)
    box.kill('SIGTERM')
    await closed
    expect(answer).toMatch(/^HTTP\/1.1 200 [^]*}$/)
    expect(await box.end).toEqual({ code: 0, signal: null })
  })

  it('stop the box in order at SIGTERM', async () => {
    await startUnderSignal('SIGTERM')
    expect(await box.end).toEqual({ code: 0, signal: null })
    expect(box.lines.at(-1)).toMatchObject({ event: 'box.stopped', cut: 0 })
  })

  it('stop a box whose settings are a pipe without an end, at SIGTERM', async () => {
    const settingsPath = join(folder, 'box.toml')
    const settings = new SettingsPipe(settingsPath)
    await settings.create()
    box = new MachineProcess(join(folder, 'forkstage.cjs'), settingsPath, ['run', '--settings', settingsPath])
    await settings.waitForReader()
    box.kill('SIGTERM')
    expect(await box.end).toEqual({ code: 0, signal: null })
    await settings.answer('')
  })
})
