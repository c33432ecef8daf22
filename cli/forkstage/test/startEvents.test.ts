import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import { buildPrograms, MachineProcess, settingsText, type Role } from './machineProcess'

let folder: string
let machine: MachineProcess

async function start(role: Role, named: Role = role): Promise<void> {
  const settingsPath = join(folder, 'settings.toml')
  await writeFile(settingsPath, settingsText({ role: named, folder }))
  machine = new MachineProcess(join(folder, `${role}.cjs`), settingsPath)
}

describe('events of a start', () => {
  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), 'forkstage-start-test-'))
    await buildPrograms(folder)
  })
  afterEach(() => machine.kill('SIGKILL'))
  afterAll(() => rm(folder, { recursive: true, force: true }))

  it.each(['entry', 'control'] as const)('begin with the age of the process: %s', async (role) => {
    await start(role)
    await machine.waitFor('box.started')
    expect(machine.lines[0]).toMatchObject({ event: 'start.begun', pid: expect.any(Number) })
    expect(machine.lines[0]!.ageMs).toBeGreaterThan(0)
  })

  it('end with the reason if the start fails', async () => {
    await start('entry', 'control')
    expect(await machine.end).toEqual({ code: 1, signal: null })
    expect(machine.lines.at(-1)).toMatchObject({ event: 'start.failed', code: 'FORKSTAGE_WRONG_ROLE' })
  })

  it('end with the reason, without a wait, if no settings file is named', async () => {
    machine = new MachineProcess(join(folder, 'entry.cjs'), '')
    expect(await machine.end).toEqual({ code: 1, signal: null })
    expect(machine.lines.map(({ event }) => event)).toEqual(['start.begun', 'start.failed'])
    expect(machine.lines.at(-1)).toMatchObject({ code: 'FORKSTAGE_NO_SETTINGS_FILE' })
  })
})
