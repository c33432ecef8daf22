import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { build } from 'esbuild'
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import { roleOptions, rolePrograms } from '../../../scripts/bundleOptions.mjs'

interface LogLine {
  event: string
  cut?: number
  reason?: string
}

let folder: string
let port: number
let child: ChildProcess
let socket: Socket | undefined

async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port: free } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return free
}

/** Starts an entry as a child process; returns its log lines as they are written. */
async function startEntry(): Promise<AsyncIterator<LogLine>> {
  port = await freePort()
  const settingsPath = join(folder, 'entry.toml')
  await writeFile(
    settingsPath,
    `[machine]
name = "entry"
role = "entry"
zone = "a"
[listen]
callers = "127.0.0.1:${port}"
readiness = "127.0.0.1:0"
peers = "127.0.0.1:0"
[peers]
shared_key = "a key for this test alone"
[control]
seeds = ["127.0.0.1:9"]
[stop]
grace_s = 1.5
unready_ms = 1
`,
  )
  child = spawn(process.execPath, [join(folder, 'entry.bundle.cjs'), settingsPath], {
    env: { ...process.env, FORKSTAGE_CONFIG: settingsPath },
    stdio: ['ignore', 'pipe', 'inherit'],
  })
  return readLines(child)
}

async function* readLines(process: ChildProcess): AsyncGenerator<LogLine, void> {
  for await (const line of createInterface({ input: process.stdout! })) yield JSON.parse(line).context
}

async function waitFor(lines: AsyncIterator<LogLine>, events: string[]): Promise<LogLine> {
  for (;;) {
    const { value, done } = await lines.next()
    if (done) throw new Error(`the process ended without ${events.join(' or ')}`)
    if (events.includes(value.event)) return value
  }
}

describe('entry process', () => {
  beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), 'forkstage-entry-test-'))
    await build({ ...roleOptions, entryPoints: { entry: rolePrograms.entry }, outdir: folder })
  })
  afterEach(() => {
    socket?.destroy()
    child.kill('SIGKILL')
  })
  afterAll(() => rm(folder, { recursive: true, force: true }))

  it('exits with 0 after SIGTERM if no request is running', async () => {
    const lines = await startEntry()
    await waitFor(lines, ['box.started'])
    const exit = once(child, 'exit')
    child.kill('SIGTERM')
    expect(await waitFor(lines, ['box.stopped', 'box.stop_cut_off'])).toMatchObject({ cut: 0 })
    expect((await exit)[0]).toBe(0)
  })

  it('exits even if a caller never finishes its request, and counts the request as cut', async () => {
    const lines = await startEntry()
    await waitFor(lines, ['box.started'])
    socket = connect(port, '127.0.0.1')
    socket.on('error', () => undefined)
    // The interim response shows that the entry has begun to serve the request.
    socket.write('POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\nabc')
    await once(socket, 'data')
    const exit = once(child, 'exit')
    child.kill('SIGTERM')
    expect(await waitFor(lines, ['box.stopped', 'box.stop_cut_off'])).toMatchObject({ cut: 1 })
    expect((await exit)[0]).toBe(0)
  })
})
