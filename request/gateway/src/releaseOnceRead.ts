import type { ServerResponse } from 'node:http'
import type { HeldAnswer } from './answerMemory'

/** Releases a complete answer once its caller has read it or has left. */
export function releaseOnceRead(held: HeldAnswer | undefined, response: ServerResponse): void {
  if (held === undefined) return
  if (response.destroyed || response.writableFinished) return held.release()
  response.once('close', () => held.release())
}
