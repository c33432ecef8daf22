import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock } from '@forkstage/clock'
import { ForkstageError } from '@forkstage/error'
import { createSilentLogger } from '@forkstage/logger'
import { makeCertificates } from './makeCertificates'
import { PeerClient, startPeerServer, type PeerMethod, type PeerServer, type TlsFiles } from '../src'

const ADDRESS = '127.0.0.1:17931'
const logger = createSilentLogger()
const clock = createSystemClock()
const open: { close(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.close()))))

async function serve(methods: Record<string, PeerMethod>, tls?: TlsFiles): Promise<PeerServer> {
  const server = await startPeerServer({
    address: ADDRESS,
    sharedKey: 'the right shared key',
    methods,
    logger,
    tls,
  })
  open.push(server)
  return server
}

function client(sharedKey = 'the right shared key', tls?: TlsFiles): PeerClient {
  const peers = new PeerClient({ credentials: { box: 'bole-1', sharedKey, tls }, clock, logger })
  open.push(peers)
  return peers
}

const options = { deadline: 1_000, step: 'test' }

describe('peerClient', () => {
  it('calls a method, which receives the name of the calling box', async () => {
    await serve({ greet: (params: { name: string }, context) => `${params.name} from ${context.box}` })
    expect(await client().call(ADDRESS, 'greet', { name: 'hello' }, options)).toBe('hello from bole-1')
  })

  it('forwards code, hint, step and peer of an error', async () => {
    const fail = () => {
      throw new ForkstageError('FORKSTAGE_TEST', 'no', 'try yes', { step: 'inner' })
    }
    await serve({ fail })
    const failing = client().call(ADDRESS, 'fail', {}, options)
    await expect(failing).rejects.toMatchObject({
      code: 'FORKSTAGE_TEST',
      hint: 'try yes',
      step: 'inner',
      peer: ADDRESS,
    })
  })

  it('rejects a caller without the shared key', async () => {
    let called = false
    await serve({ change: () => void (called = true) })
    await expect(client('a wrong shared key').call(ADDRESS, 'change', {}, options)).rejects.toThrow(
      ForkstageError,
    )
    expect(called).toBe(false)
  })

  it('fails a call at its deadline, and when the peer closes the connection', async () => {
    const server = await serve({ never: () => new Promise(() => undefined) })
    const peers = client()
    await expect(peers.call(ADDRESS, 'never', {}, { deadline: 30, step: 'wait' })).rejects.toMatchObject({
      step: 'wait',
    })
    const pending = peers.call(ADDRESS, 'never', {}, options)
    pending.catch(() => undefined)
    await server.close()
    await expect(pending).rejects.toMatchObject({ code: 'FORKSTAGE_PEER_UNREACHABLE' })
  })

  it('verifies the certificates of both sides if the settings name them', async () => {
    const [ours, theirs] = [makeCertificates('ours'), makeCertificates('theirs')]
    await serve({ greet: () => 'hello' }, ours)
    expect(await client(undefined, ours).call(ADDRESS, 'greet', {}, options)).toBe('hello')
    await expect(client(undefined, theirs).call(ADDRESS, 'greet', {}, options)).rejects.toThrow(
      ForkstageError,
    )
    const trustsUs = { ...theirs, authority: ours.authority }
    await expect(client(undefined, trustsUs).call(ADDRESS, 'greet', {}, options)).rejects.toThrow(
      ForkstageError,
    )
    await expect(client().call(ADDRESS, 'greet', {}, options)).rejects.toThrow(ForkstageError)
  })
})
