import { mkdtemp, rename, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { buildPrograms, MachineProcess, SettingsPipe, settingsText, type Role } from './machineProcess'

const ROLES = ['entry', 'control'] as const
const METRICS = '127.0.0.1:0'

let folder: string
let machine: MachineProcess
const at = (name: string) => join(folder, name)

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'forkstage-settings-test-'))
  await buildPrograms(folder)
})
afterEach(async () => {
  machine.kill('SIGKILL')
  await rm(folder, { recursive: true, force: true })
})

function start(role: Role): void {
  machine = new MachineProcess(at(`${role}.cjs`), at('settings.toml'))
}

async function replaceSettings(text: string): Promise<void> {
  await writeFile(at('whole'), text)
  await rename(at('whole'), at('settings.toml'))
}

describe('settings that are still being written at the start', () => {
  const whole = (role: Role) => settingsText({ role, folder, metrics: METRICS })
  const texts: [string, (role: Role) => string | undefined][] = [
    ['absent', () => undefined],
    ['empty', () => ''],
    ['cut in half', (role) => whole(role).slice(0, whole(role).length / 2)],
    ['without the last bytes', (role) => whole(role).slice(0, -20)],
    ['with a port above 65535', (role) => settingsText({ role, folder, metrics: '127.0.0.1:99999' })],
    ['with an IP number above 255', (role) => settingsText({ role, folder, metrics: '300.1.1.1:80' })],
  ]
  const cases = ROLES.flatMap((role) => texts.map(([name, text]) => [role, name, text] as const))

  it.each(cases)('are read again: %s, %s', async (role, _name, text) => {
    const torn = text(role)
    if (torn !== undefined) await writeFile(at('settings.toml'), torn)
    start(role)
    expect(await machine.waitFor('start.waiting')).toMatchObject({ step: 'settings' })
    await replaceSettings(whole(role))
    expect(await machine.waitFor('box.started')).toMatchObject({ addresses: { metrics: METRICS } })
  })

  it.each(ROLES)('are not used where a part of them reads well: %s', async (role) => {
    const settings = new SettingsPipe(at('settings.toml'))
    await settings.create()
    start(role)
    await settings.waitForReader()
    await settings.replaceBy(whole(role))
    await settings.answer(settingsText({ role, folder }))
    expect(await machine.waitFor('box.started')).toMatchObject({ addresses: { metrics: METRICS } })
  })
})

describe('settings that are still being written at a reload', () => {
  it.each(ROLES)('are not used where a part of them reads well: %s', async (role) => {
    const before = settingsText({ role, folder, more: '[retry]\nslack = 56' })
    await writeFile(at('settings.toml'), before)
    start(role)
    await machine.waitFor('box.started')
    const settings = new SettingsPipe(at('pipe'))
    await settings.create()
    await rename(at('pipe'), at('settings.toml'))
    machine.kill('SIGHUP')
    const reader = new SettingsPipe(at('settings.toml'))
    await reader.waitForReader()
    await reader.replaceBy(`${before}\n[log]\nlevel = "info"\n[orders]\nlease_ms = 4_000`)
    await reader.answer(settingsText({ role, folder }))
    expect(await machine.waitFor('settings.reloaded')).toMatchObject({ changed: ['orders'] })
  })
})
