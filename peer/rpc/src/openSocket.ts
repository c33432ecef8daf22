import type { Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link openSocket}. */
export interface OpenSocketOptions {
  /** Begins one try; `onOpen` is called once its connection can be used. */
  connect: (onOpen: () => void) => Socket
  /** How long to try altogether. */
  timeoutMs: Millis
  clock: Clock
}

/**
 * After this long without a word another try begins beside those that run. A machine without power lets the opening
 * packet vanish, and the system sends it again only after 1 s: without a further try, one that comes back meanwhile
 * would be found only when the whole limit has passed. Above a round trip
 * between far regions, some 100 ms, so that a machine that answers is asked once.
 */
export const NEXT_ATTEMPT_DELAY_MS = 200

/**
 * Opens a connection; the first try that succeeds is taken and the others are dropped.
 * @throws the error of the first try that is answered with a refusal, or one that says the time was up.
 */
export function openSocket(options: OpenSocketOptions): Promise<Socket> {
  const { connect, timeoutMs, clock } = options
  const attempts = new Set<Socket>()
  let cancelNext = () => {}
  let isSettled = false
  return new Promise((resolve, reject) => {
    const settle = (chosen?: Socket) => {
      isSettled = true
      cancelNext()
      cancelTimeout()
      attempts.forEach((socket) => socket !== chosen && socket.destroy())
    }
    const fail = (error: Error) => {
      if (isSettled) return
      settle()
      reject(error)
    }
    const cancelTimeout = clock.after(timeoutMs, () => fail(new Error('no connection in time')))
    const startAttempt = () => {
      const socket = connect(() => {
        if (isSettled) return
        settle(socket)
        resolve(socket)
      })
      attempts.add(socket)
      socket.on('error', fail)
      cancelNext = clock.after(NEXT_ATTEMPT_DELAY_MS, startAttempt)
    }
    startAttempt()
  })
}
