// A plain worker in a process of its own, so that it can stand still while its queue of new connections is full.
import { pause } from '../stand-ins/tools.mjs'
import { Worker } from '../stand-ins/worker.mjs'

const { id, control, partMs, part } = JSON.parse(process.argv[2])
const say = (event) => process.send(event)

/** Sends an answer without a length in two halves and ends it with its connection. */
async function answer({ id: request, request: { socket }, headers }) {
  const lines = Object.entries({ ...headers, 'Content-Type': 'text/plain', Connection: 'close' })
  socket.write(`HTTP/1.1 200 OK\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`)
  socket.write(part)
  say({ type: 'half', request })
  await pause(partMs)
  say({ type: socket.destroyed ? 'lost' : 'whole', request })
  socket.end(part)
}

const worker = new Worker({
  id,
  service: 'clerk-desk',
  fleet: { controlUrls: () => control },
  record: (line) => say({ type: 'line', line }),
  run: answer,
  backlog: 1,
})
await worker.start()
say({ type: 'started', address: worker.address })
