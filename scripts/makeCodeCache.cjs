// Makes the code cache of one bundle: starts the bundle on free loopback ports, waits until it has started, saves the
// code that V8 has compiled by then, and exits. Needs the flags of the deployment: V8 rejects a cache made with others.
// Usage: node FLAGS makeCodeCache.cjs NAME.bundle.cjs NAME.cache ROLE
'use strict'
const { mkdtempSync, renameSync, rmSync, writeFileSync } = require('node:fs')
const { tmpdir } = require('node:os')
const { join, resolve } = require('node:path')
const { compile, digestOf, readSource, run } = require('./startWithCodeCache.cjs')

/** Timeout of a start, which takes a few hundred milliseconds. */
const LONGEST_WAIT_MS = 10_000
/** Delay after the start that lets the cache include what follows it, such as the first call to a control machine. */
const AFTER_START_MS = 400

const [bundleFile, cachePath, role] = process.argv.slice(2)
const bundlePath = resolve(bundleFile)
const folder = mkdtempSync(join(tmpdir(), 'forkstage-code-cache-'))

function settingsOf() {
  const any = '"127.0.0.1:0"'
  const listen = role === 'entry' ? `callers = ${any}\nreadiness = ${any}` : `operators = ${any}`
  const data = role === 'entry' ? '' : `data_folder = ${JSON.stringify(join(folder, 'data'))}`
  return `[machine]
name = "code-cache"
role = "${role}"
zone = "none"
${data}
[listen]
${listen}
peers = ${any}
metrics = ${any}
[peers]
shared_key = "only for making a code cache"
[control]
seeds = ["127.0.0.1:9"]
found = false
[log]
level = "info"
`
}

const settingsPath = join(folder, 'settings.toml')
writeFileSync(settingsPath, settingsOf())
process.env.FORKSTAGE_CONFIG = settingsPath

const source = readSource(bundlePath)
const script = compile(bundlePath, source)

function finish(started) {
  // Other processes may be starting from this folder, so the cache is put in place atomically.
  const code = script.createCachedData()
  writeFileSync(`${cachePath}.new`, Buffer.concat([digestOf(source, code), code]))
  renameSync(`${cachePath}.new`, cachePath)
  rmSync(folder, { recursive: true, force: true })
  if (!started)
    process.stderr.write(
      `${role}: did not start within ${LONGEST_WAIT_MS} ms; the code cache is incomplete\n`,
    )
  process.exit(0)
}

process.stdout.write = (chunk) => {
  if (!String(chunk).includes('"box.started"')) return true
  process.stdout.write = () => true
  setTimeout(() => finish(true), AFTER_START_MS)
  return true
}
setTimeout(() => finish(false), LONGEST_WAIT_MS)
process.on('exit', () => rmSync(folder, { recursive: true, force: true }))
run(script, bundlePath)
