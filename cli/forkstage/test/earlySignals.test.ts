import { copyFile, mkdtemp, rename, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { buildPrograms, MachineProcess, SettingsPipe, settingsText, type Role } from './machineProcess'

const ROLES = ['entry', 'control'] as const
/** Handling signals without a pause slows a stop, which must not reach the end of its grace time. */
const LONG_GRACE_S = 60
/** Minimal program: says that it is being loaded, and sets its listeners once there is a file beside it. */
const BUNDLE = `
const say = (event) => process.stdout.write(JSON.stringify({ context: { event } }) + '\\n')
say('loading')
while (!require('node:fs').existsSync(__dirname + '/gate'));
for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT'])
  process.on(signal, () => {
    say(signal)
    process.exit(0)
  })
setInterval(() => undefined, 1_000)
`

let folder: string
let machine: MachineProcess
const at = (name: string) => join(folder, name)

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'forkstage-signals-test-'))
})
afterEach(async () => {
  machine.kill('SIGKILL')
  await rm(folder, { recursive: true, force: true })
})

/** Starts a machine, sends it a signal while it reads its settings, and changes them before it has read them. */
async function startUnderSignal(role: Role, signal: NodeJS.Signals): Promise<void> {
  await buildPrograms(folder)
  const settings = new SettingsPipe(at('settings.toml'))
  await settings.create()
  machine = new MachineProcess(at(`${role}.cjs`), at('settings.toml'))
  await settings.waitForReader()
  machine.kill(signal)
  await settings.replaceBy(settingsText({ role, folder, name: 'changed' }))
  await settings.answer(settingsText({ role, folder, name: 'before' }))
}

describe('signals while the bundle is loaded', () => {
  it.each(['SIGHUP', 'SIGTERM', 'SIGINT'] as const)('reach the program: %s', async (signal) => {
    await copyFile('scripts/startWithCodeCache.cjs', at('p.cjs'))
    await writeFile(at('p.bundle.cjs'), BUNDLE)
    machine = new MachineProcess(at('p.cjs'), at('no-settings'))
    await machine.waitFor('loading')
    machine.kill(signal)
    await writeFile(at('gate'), '')
    expect(await machine.end).toEqual({ code: 0, signal: null })
    expect(machine.lines.map(({ event }) => event)).toEqual(['loading', signal])
  })
})

describe('signals during a stop', () => {
  it.each(ROLES)('do not end the process: %s', async (role) => {
    await buildPrograms(folder)
    await writeFile(at('settings.toml'), settingsText({ role, folder, graceS: LONG_GRACE_S }))
    machine = new MachineProcess(at(`${role}.cjs`), at('settings.toml'))
    await machine.waitFor('box.started')
    while (machine.isRunning) {
      for (const signal of ['SIGTERM', 'SIGHUP', 'SIGINT'] as const) machine.kill(signal)
      await new Promise((resolve) => setImmediate(resolve))
    }
    expect(await machine.end).toEqual({ code: 0, signal: null })
    expect(machine.lines.at(-1)).toMatchObject({ event: 'box.stopped' })
  })
})

describe('signals while the settings are read', () => {
  it.each(ROLES)('do not end the process, which uses the changed settings, at SIGHUP: %s', async (role) => {
    await startUnderSignal(role, 'SIGHUP')
    expect(await machine.waitFor('box.started')).toMatchObject({ box: 'changed' })
    expect(machine.isRunning).toBe(true)
  })

  it.each(ROLES)('end the process in order at SIGTERM: %s', async (role) => {
    await startUnderSignal(role, 'SIGTERM')
    expect(await machine.end).toEqual({ code: 0, signal: null })
    expect(machine.lines.at(-1)).toMatchObject({ event: 'box.stopped', cut: 0 })
  })
})

describe('settings in a pipe that nobody ends', () => {
  it.each(ROLES)('do not keep a start from stopping if nobody opens it: %s', async (role) => {
    await buildPrograms(folder)
    await new SettingsPipe(at('settings.toml')).create()
    machine = new MachineProcess(at(`${role}.cjs`), at('settings.toml'))
    await machine.waitFor('start.begun')
    machine.kill('SIGTERM')
    expect(await machine.end).toEqual({ code: 0, signal: null })
  })

  it.each(ROLES)('do not keep a start from stopping if its writer stays: %s', async (role) => {
    await buildPrograms(folder)
    const settings = new SettingsPipe(at('settings.toml'))
    await settings.create()
    machine = new MachineProcess(at(`${role}.cjs`), at('settings.toml'))
    await settings.waitForReader()
    machine.kill('SIGTERM')
    expect(await machine.end).toEqual({ code: 0, signal: null })
    await settings.answer('')
  })

  it.each(ROLES)('do not keep a machine that reloads them from stopping: %s', async (role) => {
    await buildPrograms(folder)
    await writeFile(at('settings.toml'), settingsText({ role, folder }))
    machine = new MachineProcess(at(`${role}.cjs`), at('settings.toml'))
    await machine.waitFor('box.started')
    await new SettingsPipe(at('pipe')).create()
    await rename(at('pipe'), at('settings.toml'))
    const reader = new SettingsPipe(at('settings.toml'))
    machine.kill('SIGHUP')
    await reader.waitForReader()
    machine.kill('SIGTERM')
    expect(await machine.end).toEqual({ code: 0, signal: null })
    await reader.answer('')
  })
})
