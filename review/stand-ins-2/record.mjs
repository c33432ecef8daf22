// The record of a run, and its end: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

const LIMIT_MS = 115_000

export class Record {
  #lines = []
  #startedAt = Date.now()

  constructor(folder) {
    this.file = join(folder, 'record.txt')
  }

  log = (text) => {
    const at = ((Date.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)
    this.#lines.push(`${at} ${text}`)
  }

  save(last) {
    this.log(last)
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`)
    console.log(last)
  }
}

/**
 * Runs a case: `play` gets the record and whether there is a disruption, and returns why the rule is broken, or undefined.
 * `end` ends what it started.
 */
export async function runCase(folder, play, end) {
  const record = new Record(folder)
  const hasTrouble = process.env.TROUBLE !== '0'
  record.log(`disruption: ${hasTrouble ? 'yes' : 'no'}`)
  const timer = setTimeout(() => finish(2, 'the case took too long'), LIMIT_MS)
  async function finish(code, last) {
    clearTimeout(timer)
    await end().catch((error) => record.log(`end: ${error.message}`))
    record.save(last)
    process.exit(code)
  }
  try {
    const broken = await play(record, hasTrouble)
    await finish(broken === undefined ? 0 : 1, broken === undefined ? 'HELD' : `BROKEN ${broken}`)
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`)
  }
}
