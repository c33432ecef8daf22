// A plain worker in a process of its own whose queue of new connections is full for a moment.
import { fork } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { pause, waitUntil } from './tools.mjs'

const SYN_SENT = '02'
const MAX_QUEUED = 64
const SYN_LIMIT_MS = 1_000

/** Returns how many connections to a port of this machine are being opened. */
function openingTo(port) {
  const wanted = port.toString(16).toUpperCase().padStart(4, '0')
  const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)
  return rows.filter((row) => {
    const [, , remote, state] = row.trim().split(/\s+/)
    return remote?.endsWith(`:${wanted}`) && state === SYN_SENT
  }).length
}

/** Starts the worker of a case; `onEvent` gets what its process says. */
export async function startWorkerProcess(file, fleet, options, { record, onEvent }) {
  const child = fork(file, [JSON.stringify({ ...options, control: fleet.controlUrls() })])
  const exited = new Promise((resolve) => child.once('exit', resolve))
  fleet.running.set('worker', { child, exited })
  let address
  child.on('message', (event) => {
    if (event.type === 'line') record(event.line)
    else if (event.type === 'started') address = event.address
    else onEvent(event)
  })
  await waitUntil('the worker', 20_000, () => address !== undefined)
  const [host, port] = address.split(':')
  return { child, host, port: Number(port) }
}

/**
 * Has an entry open a connection to the worker while the worker's queue is full, so that the opening packet is dropped.
 * `send` makes the entry do so. The worker goes on as soon as the packet has been sent.
 */
export async function whileQueueIsFull({ child, host, port }, send) {
  child.kill('SIGSTOP')
  const queued = []
  while (openingTo(port) === 0 && queued.length < MAX_QUEUED) {
    queued.push(connect({ host, port }).on('error', () => undefined))
    await pause(5)
  }
  const before = openingTo(port)
  const answered = send()
  for (const end = Date.now() + SYN_LIMIT_MS; openingTo(port) <= before && Date.now() < end;) await pause(1)
  queued.forEach((socket) => socket.destroy())
  child.kill('SIGCONT')
  return { answered }
}

/** Returns the entry that carries a connection for another one. */
export async function findCarrier(fleet) {
  for (const entry of fleet.entries) if ((await fleet.metric(entry, /tunnels_carried/)) > 0) return entry
  return undefined
}
