import {
  close as closeWithCallback,
  constants,
  open as openWithCallback,
  read as readWithCallback,
} from 'node:fs'
import { promisify } from 'node:util'
import { delay, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

const POLL_EVERY_MS: Millis = 10
const BUFFER_BYTES = 65_536
/** Error of a read while a writer has the pipe open and nothing has arrived. */
const NOTHING_YET = 'EAGAIN'

const open = promisify(openWithCallback)
const read = promisify(readWithCallback)
const close = promisify(closeWithCallback)

/**
 * Reads a named pipe to its end: waits for a writer, and until it has closed the pipe. Never blocks a thread, since the process
 * could not exit before that thread returns.
 */
export async function readPipe(path: string, clock: Clock): Promise<string> {
  const descriptor = await open(path, constants.O_RDONLY | constants.O_NONBLOCK)
  const parts: Buffer[] = []
  let hasWriter = false
  try {
    for (;;) {
      const part = await readPart(descriptor)
      if (part?.length === 0 && hasWriter) return Buffer.concat(parts).toString('utf8')
      // Without a writer a read returns no bytes, as at the end.
      hasWriter ||= part?.length !== 0
      if (part !== undefined && part.length > 0) parts.push(part)
      else await delay(clock, POLL_EVERY_MS)
    }
  } finally {
    await close(descriptor)
  }
}

/** Returns the bytes that have arrived, none at the end of the pipe, or undefined if its writer has not sent any yet. */
async function readPart(descriptor: number): Promise<Buffer | undefined> {
  const buffer = Buffer.alloc(BUFFER_BYTES)
  try {
    const { bytesRead } = await read(descriptor, buffer, 0, BUFFER_BYTES, null)
    return buffer.subarray(0, bytesRead)
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === NOTHING_YET) return undefined
    throw error
  }
}
