import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** `minor`: only what was allocated lately, which takes about a millisecond; `full`: everything. */
export type CollectionKind = 'minor' | 'full'

let collect: ((options?: { type: 'minor' }) => void) | undefined

/** Runs a garbage collection of V8. */
export function collectGarbage(kind: CollectionKind): void {
  collect ??= exposeCollection()
  if (kind === 'minor') collect({ type: 'minor' })
  else collect()
}

function exposeCollection(): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}
