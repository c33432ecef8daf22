import { connect } from 'node:net'
import type { Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { ProbeResult } from './crashDetector'

const REFUSED = 'ECONNREFUSED'
const PROBE_TIMEOUT_MS: Millis = 400

/** Opens a bare TCP connection to an address and closes it at once. Never rejects. */
export function probeAddress(address: Address, clock: Clock): Promise<ProbeResult> {
  const colon = address.lastIndexOf(':')
  const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) })
  return new Promise((resolve) => {
    const finish = (result: ProbeResult) => {
      cancel()
      socket.destroy()
      resolve(result)
    }
    const cancel = clock.after(PROBE_TIMEOUT_MS, () => finish('silent'))
    socket.once('connect', () => finish('listens'))
    socket.on('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === REFUSED ? 'refused' : 'silent'),
    )
  })
}
