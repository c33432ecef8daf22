// Starts the bundle next to this file with V8's code cache, which saves compiling it at each start. A cache that is
// missing, damaged, of another bundle, or made by another node version or with other flags is ignored; the start is
// then only slower.
'use strict'
// Loading takes most of a start. The event loop turns only after it, so that the program's listeners get what came before.
if (require.main === module)
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT']) process.on(signal, () => undefined)
const { createHash } = require('node:crypto')
const { readFileSync, statSync } = require('node:fs')
const { createRequire, wrap } = require('node:module')
const { dirname } = require('node:path')
const { Script } = require('node:vm')

const DIGEST_BYTES = 32

/** Binds the cache to the content of the bundle, of which V8 itself compares only the length. */
function digestOf(source, code) {
  return createHash('sha256').update(source, 'latin1').update(code).digest()
}

function readCache(path, source) {
  let bytes
  try {
    bytes = readFileSync(path)
  } catch (error) {
    return { state: error.code === 'ENOENT' ? 'missing' : `unreadable: ${error.code}` }
  }
  const code = bytes.subarray(DIGEST_BYTES)
  if (!digestOf(source, code).equals(bytes.subarray(0, DIGEST_BYTES)))
    return { state: 'damaged, or of another bundle' }
  return { state: 'used', code }
}

/** Compiles the bundle at `path`, with `code` as its code cache, if given. */
function compile(path, source, code) {
  return new Script(wrap(source), { filename: path, cachedData: code })
}

/** Runs a compiled bundle as a CommonJS module. */
function run(script, path) {
  const module = { exports: {} }
  script
    .runInThisContext()
    .call(module.exports, module.exports, createRequire(path), module, path, dirname(path))
}

/** Reads a bundle. Bundles are ASCII, so latin1, which is the fastest encoding to read, gives the same text. */
function readSource(path) {
  return readFileSync(path, 'latin1')
}

function start(path, cachePath) {
  const source = readSource(path)
  const { state, code } = readCache(cachePath, source)
  const script = compile(path, source, code)
  // The program reads this state and logs why a cache was not used.
  globalThis.forkstageCodeCache = script.cachedDataRejected ? 'refused by this node or its flags' : state
  run(script, path)
}

/** Reads the settings for the program, which uses a text only if a later read agrees with an earlier one. */
function readSettingsEarly() {
  const path = process.env.FORKSTAGE_CONFIG ?? process.argv[2]
  try {
    // A pipe could block here for good, and with it the signals.
    if (!statSync(path).isFile()) return
    globalThis.forkstageEarlySettings = { path, text: readFileSync(path, 'utf8'), readAt: performance.now() }
  } catch {
    // The program reads the file again and tells the reason.
  }
}

if (require.main === module) {
  readSettingsEarly()
  const name = __filename.slice(0, -'.cjs'.length)
  start(`${name}.bundle.cjs`, `${name}.cache`)
}

module.exports = { compile, digestOf, readCache, readSource, run, start }
