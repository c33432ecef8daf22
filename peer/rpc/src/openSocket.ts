import type { Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** Options of {@link openSocket}. */
export interface OpenSocketOptions {
  /** Starts one connection attempt; `onOpen` is called once the connection is usable. */
  connect: (onOpen: () => void) => Socket
  /** Limit for all attempts together, in milliseconds. */
  timeoutMs: Millis
  clock: Clock
}

/**
 * Delay after which another attempt starts beside the pending ones. A machine without power drops the SYN packet, and
 * the operating system retransmits it only after 1 s: without another attempt, a machine that restarts in the
 * meantime would not be reached before the timeout. Longer than a round trip between distant regions, about 100 ms, so
 * that a machine that responds receives one attempt.
 */
export const NEXT_ATTEMPT_DELAY_MS = 200

/**
 * Opens a connection; returns the socket of the first attempt that succeeds and destroys the others.
 * @throws the error of the first attempt that fails, or a timeout error.
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
