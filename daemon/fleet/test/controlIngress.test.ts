// Guards against stops of control machines that leave requests without an answer, or that deny what may have taken effect.
import { once } from 'node:events'
import type { RequestListener } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { createSystemClock } from '@forkstage/clock'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { ControlIngress } from '../src/controlIngress'

const open: (() => unknown)[] = []
afterEach(() => Promise.all(open.splice(0).map((close) => close())))

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
const HALF_REQUEST = 'PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345'

async function start(app: RequestListener) {
  const ingress = new ControlIngress({ app, clock: createSystemClock() })
  const server = await ingress.listen('127.0.0.1:0', { most: 100, onRefused: () => undefined })
  open.push(() => ingress.closeAll())
  const { port } = server.address() as AddressInfo
  /** Opens a connection and sends some bytes; returns what has arrived, and a promise of all that does. */
  const send = async (bytes: string) => {
    const socket = connect(port, '127.0.0.1')
    open.push(() => socket.destroy())
    await once(socket, 'connect')
    let text = ''
    socket.on('data', (part: Buffer) => (text += part.toString()))
    const whole = once(socket, 'close').then(() => text)
    socket.write(bytes)
    return { socket, text: () => text, whole }
  }
  return { ingress, send }
}

describe('the listener of a control machine', () => {
  it('refuses a request on an open connection after its close as not run, and does not carry it out', async () => {
    const app = vi.fn<RequestListener>((_request, response) => void response.end('ok'))
    const { ingress, send } = await start(app)
    const caller = await send(REQUEST)
    await vi.waitUntil(() => caller.text().endsWith('ok'))
    const closed = ingress.close()
    caller.socket.write(REQUEST)
    expect((await caller.whole).split('ok')[1]).toMatch(
      /^HTTP\/1.1 503 [^]*retry-after: 0.050[^]*FORKSTAGE_LEAVING/i,
    )
    await closed
    expect(app).toHaveBeenCalledTimes(1)
  })

  it('lets a request that is carried out be answered, and announces the end of the connection', async () => {
    let finish = () => {}
    const { ingress, send } = await start((_request, response) => (finish = () => void response.end('done')))
    const caller = await send(REQUEST)
    await vi.waitUntil(() => ingress.running === 1)
    ingress.leave()
    const closed = ingress.close()
    finish()
    expect(await caller.whole).toMatch(/^HTTP\/1.1 200 [^]*connection: close[^]*done$/i)
    await closed
  })

  it('says at the forced end that the outcome of a request is unknown', async () => {
    const { ingress, send } = await start(() => undefined)
    const caller = await send(REQUEST)
    await vi.waitUntil(() => ingress.running === 1)
    await ingress.closeAll()
    const answer = await caller.whole
    expect(answer).toMatch(/^HTTP\/1.1 503 [^]*FORKSTAGE_OUTCOME_UNKNOWN/)
    expect(answer).not.toMatch(/retry-after/i)
  })

  it('says at the forced end that a request that has not arrived in full was not run', async () => {
    const { ingress, send } = await start(() => undefined)
    const caller = await send(HALF_REQUEST)
    await vi.waitUntil(() => ingress.running === 1)
    await ingress.closeAll()
    expect(await caller.whole).toMatch(/^HTTP\/1.1 503 [^]*retry-after: 0.050[^]*FORKSTAGE_LEAVING/i)
  })
})
