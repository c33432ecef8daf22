// An entry is killed while it carries, for another entry, the connection of an answer without a length.
import { looksComplete, sendRequest } from '../stand-ins/client.mjs'
import { Fleet } from '../stand-ins/fleet.mjs'
import { findCarrier, startWorkerProcess, whileQueueIsFull } from '../stand-ins/fullQueue.mjs'
import { openRecord, pause, runCase, waitUntil } from '../stand-ins/tools.mjs'
import { configuration, plainHeaders } from '../stand-ins/worker.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const HALF = 'half of the answer\n'
const HALF_MS = 700
/** The first packet may come through after all, and then no other entry is asked. */
const TRIES = 10

const record = openRecord(new URL('record.txt', import.meta.url))
const fleet = new Fleet()
const halves = new Set()

function recordEvent({ type, request }) {
  if (type === 'half') halves.add(request)
  const did = { half: 'has sent one half', whole: 'sends the other half', lost: 'has lost the connection' }
  record(`worker ${did[type]} of ${request}`)
}

async function play() {
  await fleet.start()
  await fleet.configure(configuration(1))
  const options = { id: 'i-7', partMs: HALF_MS, part: HALF }
  const file = new URL('worker.mjs', import.meta.url)
  const worker = await startWorkerProcess(file, fleet, options, { record, onEvent: recordEvent })
  await fleet.waitReady()
  await pause(2_500)
  const [entry] = fleet.entries
  for (let number = 1; number <= TRIES; number += 1) {
    const id = `c${number}`
    const { answered } = await whileQueueIsFull(worker, () => {
      record(`client sends ${id} to ${entry.name}; the worker's queue of new connections is full`)
      return sendRequest({ ...fleet.callersOf(entry), path: '/fetch/a', headers: plainHeaders(id) })
    })
    await Promise.race([answered, waitUntil(`a half of ${id}`, 5_000, () => halves.has(id))])
    const carrier = halves.has(id) ? await findCarrier(fleet) : undefined
    if (carrier !== undefined) record(`${carrier.name} carries the connection to the worker`)
    if (carrier !== undefined && hasTrouble) {
      record(`${carrier.name} gets SIGKILL`)
      fleet.signal(carrier, 'SIGKILL')
    }
    const answer = await answered
    const { status, endedBy, framing, body } = answer
    const length = `${body.length} bytes of ${HALF.length * 2}`
    record(`client gets ${status}, ended by ${endedBy}, framed by ${framing}: ${length}`)
    const isWhole = body === HALF + HALF
    if (status === 200 && looksComplete(answer) && !isWhole) {
      record('BROKEN: an answer that ended early looks complete')
      return true
    }
    if (carrier !== undefined && (hasTrouble || isWhole)) {
      record('the rule held')
      return false
    }
    await pause(1_500)
  }
  throw new Error('no entry carried a connection for another one')
}

await runCase(fleet, 100_000, play)
