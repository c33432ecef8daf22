import { connect } from 'node:net'
import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { Listening } from './crashWatch'

const REFUSED = 'ECONNREFUSED'
const WITHIN_MS: Millis = 400

/** Opens a bare connection to an address and closes it at once. Never rejects. */
export function tryAddress(address: Address, clock: Clock): Promise<Listening> {
  const colon = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) })
  return new Promise((resolve) => {
    const end = (found: Listening) => {
      cancel()
      socket.destroy()
      resolve(found)
    }
    const cancel = clock.after(WITHIN_MS, () => end('silent'))
    socket.once('connect', () => end('listens'))
    socket.on('error', (error: NodeJS.ErrnoException) => end(error.code === REFUSED ? 'refused' : 'silent'))
  })
}
