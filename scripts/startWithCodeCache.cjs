// Starts the bundle beside it with V8's code cache, which spares compiling it anew at each start. A cache that is
// missing, of another bundle, damaged, or made by another node or with other flags is left aside: it costs time, no more.
'use strict'
const { createHash } = require('node:crypto')
const { readFileSync } = require('node:fs')
const { createRequire, wrap } = require('node:module')
const { dirname } = require('node:path')
const { Script } = require('node:vm')

const DIGEST_BYTES = 32

/** The digest binds the cache to the very bytes of the bundle: V8 itself compares only their number. */
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

/** Compiles the bundle at `path`; `code` is the cache to be used, if any. */
function compile(path, source, code) {
  return new Script(wrap(source), { filename: path, cachedData: code })
}

/** Runs a compiled bundle as the CommonJS module that it is. */
function run(script, path) {
  const module = { exports: {} }
  script
    .runInThisContext()
    .call(module.exports, module.exports, createRequire(path), module, path, dirname(path))
}

/** Bundles are written in ASCII, so that the quickest way to read one is also right. */
function readSource(path) {
  return readFileSync(path, 'latin1')
}

function start(path, cachePath) {
  const source = readSource(path)
  const { state, code } = readCache(cachePath, source)
  const script = compile(path, source, code)
  // Read by the program, which logs why a cache was not used.
  globalThis.forkstageCodeCache = script.cachedDataRejected ? 'refused by this node or its flags' : state
  run(script, path)
}

if (require.main === module) {
  const name = __filename.slice(0, -'.cjs'.length)
  start(`${name}.bundle.cjs`, `${name}.cache`)
}

module.exports = { compile, digestOf, readCache, readSource, run, start }
