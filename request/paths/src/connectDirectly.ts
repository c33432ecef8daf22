import { connect, type Socket } from 'node:net'
import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import { parseAddress } from '@forkstage/peer-rpc'
import type { Address, Millis } from '@forkstage/types'
import type { ConnectResult, PendingConnect } from './pathTypes'

const REFUSED = 'ECONNREFUSED'

/** Opens a TCP connection to an endpoint, which keeps its own side open after the endpoint has closed its side. */
export function connectDirectly(
  endpoint: Address,
  timeoutMs: Millis,
  clock: Clock,
): PendingConnect<ConnectResult> {
  let socket: Socket
  try {
    socket = connect({ ...parseAddress(endpoint), allowHalfOpen: true, noDelay: true })
  } catch (error) {
    // Nothing can listen at an address that is not valid.
    const { message } = toErrorBody(error)
    return { result: Promise.resolve({ type: 'refused', reason: message }), cancel: () => undefined }
  }
  let finish: (result: ConnectResult) => void = () => undefined
  const result = new Promise<ConnectResult>((resolve) => (finish = resolve))
  const fail = (type: 'refused' | 'silent', reason: string) => {
    cancelTimeout()
    socket.destroy()
    finish({ type, reason })
  }
  const cancelTimeout = clock.after(timeoutMs, () => fail('silent', 'no connection in time'))
  const handleError = (error: NodeJS.ErrnoException) =>
    fail(error.code === REFUSED ? 'refused' : 'silent', error.message)
  socket.once('error', handleError)
  socket.once('connect', () => {
    cancelTimeout()
    socket.off('error', handleError)
    finish({ type: 'connected', socket })
  })
  return { result, cancel: () => fail('silent', 'given up') }
}
