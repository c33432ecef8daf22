import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { once } from 'node:events'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { platformControl } from '../../../platform/system/src'
import { buildPrograms, freePort, MachineProcess, settingsText } from './machineProcess'

const GRACE_S = 3

let folder: string
let machine: MachineProcess
const at = (name: string) => join(folder, name)

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'forkstage-stop-test-'))
})
afterEach(async () => {
  machine.kill('SIGKILL')
  await rm(folder, { recursive: true, force: true })
})

describe('a control machine', () => {
  it('answers a request that waits for a leader when SIGTERM comes, and exits with 0', async () => {
    await buildPrograms(folder)
    const port = await freePort()
    const text = settingsText({ role: 'control', folder, graceS: GRACE_S })
    await writeFile(
      at('settings.toml'),
      text.replace('operators = "127.0.0.1:0"', `operators = "127.0.0.1:${port}"`),
    )
    machine = new MachineProcess(at('control.cjs'), at('settings.toml'))
    await machine.waitFor('box.started')
    const socket = connect(port, '127.0.0.1')
    await once(socket, 'connect')
    let answer = ''
    socket.on('data', (bytes: Buffer) => (answer += bytes.toString()))
    const closed = once(socket, 'close')
    socket.write(`GET ${platformControl.sheetPath} HTTP/1.1\r\nHost: h\r\n\r\n`)
    machine.kill('SIGTERM')
    await closed
    expect(answer).toMatch(/^HTTP\/1.1 503 [^]*}$/)
    expect(await machine.end).toEqual({ code: 0, signal: null })
    expect(machine.lines.at(-1)).toMatchObject({ event: 'box.stopped', cut: 0 })
  })
})
