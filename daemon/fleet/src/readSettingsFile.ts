import { readFile as readFileWithCallback, stat as statWithCallback } from 'node:fs'
import { promisify } from 'node:util'
import type { Clock } from '@forkstage/clock'
import { readPipe } from './readPipe'

// Loading node:fs/promises would cost each start about 5 ms of processor time.
const readFile = promisify(readFileWithCallback)
const stat = promisify(statWithCallback)

/** Reads the text of a settings file; one that is a pipe does not keep the process from ending. */
export async function readSettingsFile(path: string, clock: Clock): Promise<string> {
  const isPipe = (await stat(path)).isFIFO()
  return isPipe ? readPipe(path, clock) : readFile(path, 'utf8')
}
