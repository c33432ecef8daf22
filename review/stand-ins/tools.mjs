// Small parts that the stand-ins share.
import { request } from 'node:http'
import { appendFileSync, writeFileSync } from 'node:fs'

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Polls until a condition holds; throws after the limit. */
export async function waitUntil(what, limitMs, condition) {
  const end = Date.now() + limitMs
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`waited too long for ${what}`)
    await pause(25)
  }
}

/** Sends one short call; resolves to undefined where no whole answer comes. */
export function call({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 1_000 }) {
  return new Promise((resolve) => {
    const sent = request(
      { host, port, method, path, headers, agent: false, timeout: timeoutMs },
      (answer) => {
        let text = ''
        answer.on('data', (bytes) => (text += bytes))
        answer.on('end', () => resolve({ status: answer.statusCode, headers: answer.headers, body: text }))
        answer.on('error', () => resolve(undefined))
      },
    )
    sent.on('timeout', () => sent.destroy(new Error('time-out')))
    sent.on('error', () => resolve(undefined))
    sent.end(body)
  })
}

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
export function openRecord(file) {
  const startedAt = performance.now()
  writeFileSync(file, '')
  return (line) => {
    const text = `${(performance.now() - startedAt).toFixed(0).padStart(7)} ms  ${line}`
    appendFileSync(file, `${text}\n`)
    console.log(text)
  }
}

/** Runs a case, ends all its processes, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export async function runCase(fleet, limitMs, play) {
  let code = 2
  const abort = (reason) => {
    console.error(reason)
    void fleet.stop().then(() => process.exit(2))
  }
  for (const event of ['SIGTERM', 'SIGINT', 'uncaughtException', 'unhandledRejection'])
    process.on(event, abort)
  const limit = setTimeout(() => abort('the time of the case is over'), limitMs)
  try {
    code = (await play()) ? 1 : 0
  } catch (error) {
    console.error(error)
  }
  clearTimeout(limit)
  await fleet.stop()
  process.exit(code)
}
