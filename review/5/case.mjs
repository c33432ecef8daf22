// Plain workers of one domain crash within 0.3 s while each serves the same popular content; later comes a final fault.
import { fileURLToPath } from 'node:url'
import { engineService, Engine } from '../stand-ins-2/engine.mjs'
import { Platform, sleep, until } from '../stand-ins-2/platform.mjs'
import { runCase } from '../stand-ins-2/record.mjs'
import { LIMITS, plainService, routeTo, Traffic } from '../stand-ins-2/traffic.mjs'
import { answer, runHeaders, Worker } from '../stand-ins-2/worker.mjs'

const DESKS = 6
const WORK_MS = 86
const FETCH_EVERY_MS = 20
const CHAT_EVERY_MS = 400
const IN_TOUCH_MS = 4_000
const BEFORE_MS = 20_000
const CRASH_SPAN_MS = 60
const CRASH_FOR_MS = 2_000
const AFTER_CRASH_MS = 8_000

const folder = fileURLToPath(new URL('.', import.meta.url))
let platform
let workers = []

const STREAMS = { kind: 'streaming', max_attempts: 1, sticky: true, resumable: false, gap_aim_ms: 300 }

const configOf = (version) => ({
  version,
  routes: [routeTo('deck', { kind: 'safe', max_attempts: 2 }), routeTo('chat', STREAMS)],
  services: [plainService('deck'), engineService('chat')],
  limits: LIMITS,
})

const PROMPT_HEADERS = {
  'Content-Length': 8,
  'X-Forkstage-Model': 'm',
  'X-Forkstage-Token-Counts': '5200,500',
  'X-Forkstage-Prompt-Prefix': '5c1e07a2:800,91bd3f06:4400',
}

async function startDesks(log) {
  const controls = platform.controls.map(platform.controlOf)
  const serve = ({ id, socket }) =>
    setTimeout(() => answer(socket, 200, runHeaders(id), 'the deck of this week'), WORK_MS)
  const desks = Array.from({ length: DESKS }, (_, index) => {
    const place = { ip: `${platform.net}.${50 + index}`, service: 'deck', zone: 'zone-a', controls, log }
    return new Worker({ ...place, serve })
  })
  await Promise.all(desks.map((one) => one.start()))
  log(`${desks.length} plain workers of zone-a have started: ${desks.map(({ id }) => id).join(' ')}`)
  workers = [...workers, ...desks]
  return desks
}

/** The model workers of another domain, which run all the while. */
async function startEngines(log) {
  const controls = platform.controls.map(platform.controlOf)
  const engines = ['prefill', 'prefill', 'decode', 'decode'].map((stage, index) => {
    const place = {
      ip: `${platform.net}.${80 + index}`,
      service: 'chat',
      zone: 'zone-b',
      controls,
      stage,
      log,
    }
    return new Engine(place)
  })
  await Promise.all(engines.map((one) => one.start()))
  workers = [...workers, ...engines]
}

/** The workers of the domain crash, and others start in their places. */
async function crashDomain(desks, log) {
  log('the workers of zone-a crash')
  for (const one of desks) {
    one.crash()
    await sleep(CRASH_SPAN_MS / desks.length)
  }
  log('all workers of zone-a have crashed')
  await sleep(CRASH_FOR_MS)
  await startDesks(log)
}

async function play({ log }, hasTrouble) {
  platform = new Platform({ log })
  await platform.start({ controls: 3, entries: 2 })
  await platform.configure(configOf(1))
  const desks = await startDesks(log)
  await startEngines(log)
  await until('the entries are ready', async () =>
    (await Promise.all(platform.entries.map((one) => platform.isReady(one)))).every(Boolean),
  )
  const traffic = new Traffic({ platform, log })
  void traffic.send('deck', { everyMs: FETCH_EVERY_MS, path: '/deck/this-week' })
  const chats = { method: 'POST', body: 'a prompt', headersOf: () => PROMPT_HEADERS }
  void traffic.send('chat', { everyMs: CHAT_EVERY_MS, ...chats })
  await sleep(IN_TOUCH_MS + BEFORE_MS)
  if (hasTrouble) await crashDomain(desks, log)
  await sleep(AFTER_CRASH_MS)
  return traffic.judgeFinalFault(configOf(2))
}

await runCase(folder, play, async () => {
  for (const one of workers) one.stop()
  await platform?.end()
})
