import { renameSync, writeFileSync } from 'node:fs'

/** Replaces a file so that a process that starts meanwhile reads the whole of the old or of the new content. */
export function writeAtomically(path, content) {
  const temporary = `${path}.${process.pid}.new`
  writeFileSync(temporary, content)
  renameSync(temporary, path)
}
