import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { buildPrograms, freePort, MachineProcess, settingsText, type Role } from './machineProcess'

let folder: string
let machine: MachineProcess
/** Holds an address that the machine is to listen at. */
let holder: Server

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'forkstage-address-test-'))
  await buildPrograms(folder)
  holder = createServer().listen(0, '127.0.0.1')
  await once(holder, 'listening')
})
afterEach(async () => {
  machine.kill('SIGKILL')
  holder.close()
  await rm(folder, { recursive: true, force: true })
})

const addressOf = (port: number) => `127.0.0.1:${port}`
const heldPort = () => (holder.address() as AddressInfo).port

async function start(
  role: Role,
  { callers, metrics = addressOf(heldPort()) }: { callers?: string; metrics?: string } = {},
): Promise<void> {
  await writeFile(join(folder, 'settings.toml'), settingsText({ role, folder, callers, metrics }))
  machine = new MachineProcess(join(folder, `${role}.cjs`), join(folder, 'settings.toml'))
}

/** A loopback address that nobody else listens at, so that an open port is the machine's. */
const OWN_HOST = '127.0.81.7'

/** Resolves to whether somebody listens on a port of an address. */
function isOpen(port: number, host = '127.0.0.1'): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, host, () => {
      socket.destroy()
      resolve(true)
    })
    socket.once('error', () => resolve(false))
  })
}

describe('an address that is still in use at the start', () => {
  it.each(['entry', 'control'] as const)('is opened once it is free: %s', async (role) => {
    await start(role)
    expect(await machine.waitFor('start.waiting')).toMatchObject({ step: 'listen' })
    holder.close()
    await machine.waitFor('box.started')
  })

  it('is opened for callers once it is free', async () => {
    const port = heldPort()
    await start('entry', { callers: addressOf(port), metrics: addressOf(0) })
    await machine.waitFor('start.waiting')
    holder.close()
    await machine.waitFor('box.started')
    expect(await isOpen(port)).toBe(true)
  })

  it.each(['entry', 'control'] as const)('does not keep a machine from stopping: %s', async (role) => {
    await start(role)
    await machine.waitFor('start.waiting')
    machine.kill('SIGTERM')
    expect(await machine.end).toEqual({ code: 0, signal: null })
    expect(machine.lines.at(-1)).toMatchObject({ event: 'box.stopped', cut: 0 })
  })

  it('keeps a machine waiting that no caller reaches, until it is stopped', async () => {
    const port = await freePort()
    await start('entry', { callers: `${OWN_HOST}:${port}` })
    let wasOpen = false
    while (machine.isRunning && machine.count('start.waiting') < 2)
      if (await isOpen(port, OWN_HOST)) wasOpen = true
    machine.kill('SIGTERM')
    while (machine.isRunning) if (await isOpen(port, OWN_HOST)) wasOpen = true
    expect(await machine.end).toEqual({ code: 0, signal: null })
    expect(machine.lines.at(-1)).toMatchObject({ event: 'box.stopped', cut: 0 })
    expect(wasOpen).toBe(false)
  })

  it.each(['entry', 'control'] as const)('is given up for one in changed settings: %s', async (role) => {
    await start(role)
    await machine.waitFor('start.waiting')
    await writeFile(join(folder, 'settings.toml'), settingsText({ role, folder, metrics: addressOf(0) }))
    machine.kill('SIGHUP')
    expect(await machine.waitFor('box.started')).toMatchObject({ addresses: { metrics: addressOf(0) } })
  })
})
