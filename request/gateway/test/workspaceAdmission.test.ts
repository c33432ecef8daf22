import { connect, type Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import type { Workspace } from '@forkstage/routes'
import { FakeWorker, goodAnswer } from './fakeWorker'
import { GatewayHarness } from './gatewayHarness'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

const ONE: Workspace = { name: 'one', keys: ['k1', 'k1b'], priority: 1 }
const TWO: Workspace = { name: 'two', keys: ['k2'], priority: 2 }

async function start(workspaces: Workspace[] | undefined = [ONE, TWO], isPublic = false) {
  const worker = await FakeWorker.start((request) => void request.socket.end(goodAnswer(request, 'whole')))
  const routes = [{ kind: 'safe' as const, isPublic, attempts: 1 }]
  const harness = await GatewayHarness.start([{ address: worker.address }], routes, {}, workspaces)
  open.push(harness, worker)
  return { harness, worker }
}

/** Sends raw header lines on a connection of their own and returns the answer's text. */
async function sendRows(port: number, rows: string[]): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  let answer = ''
  socket.on('data', (bytes) => (answer += bytes.toString('latin1')))
  const head = ['GET /p/x HTTP/1.1', 'Host: h.example', 'x-id: r1', 'x-deadline: 4000', 'Connection: close']
  socket.write([...head, ...rows, '', ''].join('\r\n'))
  await new Promise((resolve) => socket.on('close', resolve))
  return answer
}

describe('a route that is not public', () => {
  it("admits a request with a workspace's key, and sends the endpoint the workspace's name instead of the key", async () => {
    const { harness, worker } = await start()
    const answer = await harness.send('/p/x', { headers: { 'x-key': 'k1b', 'x-workspace': 'two' } })
    expect(answer).toMatchObject({ status: 200, body: 'whole' })
    expect(worker.seen[0]!.headers).toMatchObject({ 'x-workspace': 'one' })
    expect(worker.seen[0]!.headers).not.toHaveProperty('x-key')
    expect(harness.reports[0]).toMatchObject({ workspace: 'one', status: 200 })
  })

  it.each([
    ['no key', []],
    ['an empty key', ['x-key:']],
    ['a key of blanks', ['x-key:   ']],
    ['an unknown key', ['x-key: k3']],
    ['a key in upper case', ['x-key: K1']],
    ['two keys', ['x-key: k1', 'x-key: k2']],
    ['one key twice', ['x-key: k1', 'X-KEY: k1']],
    ['two keys in one header', ['x-key: k1, k2']],
    ['a key with a scheme', ['x-key: Bearer k1']],
    ['a key that is too long', [`x-key: ${'k'.repeat(2_000)}`]],
    ['only the name of a workspace', ['x-workspace: one']],
  ])('refuses %s with 401 before any endpoint sees it', async (_what, rows) => {
    const { harness, worker } = await start()
    const answer = await sendRows(harness.port, rows)
    expect(answer).toMatch(/^HTTP\/1\.1 401 /)
    expect(answer).toContain('FORKSTAGE_NO_KNOWN_KEY')
    expect(worker.seen).toEqual([])
    expect(harness.reports[0]).toMatchObject({ status: 401, outcome: 'no known key' })
  })

  it('refuses a key that was revoked, also on a connection that stays open', async () => {
    const { harness, worker } = await start()
    const socket = connect(harness.port, '127.0.0.1')
    open.push({ stop: () => socket.destroy() })
    expect(await ask(socket, 'k1')).toMatch(/^HTTP\/1\.1 200 /)
    harness.setWorkspaces([{ ...ONE, keys: ['k1b'] }, TWO])
    expect(await ask(socket, 'k1')).toMatch(/^HTTP\/1\.1 401 /)
    expect(await ask(socket, 'k1b')).toMatch(/^HTTP\/1\.1 200 /)
    expect(worker.seen).toHaveLength(2)
  })

  it('maps a key that was moved to another workspace to that workspace', async () => {
    const { harness, worker } = await start()
    harness.setWorkspaces([ONE, TWO].map((one) => ({ ...one, keys: one === TWO ? ['k1'] : [] })))
    await harness.send('/p/x', { headers: { 'x-key': 'k1' } })
    expect(worker.seen[0]!.headers).toMatchObject({ 'x-workspace': 'two' })
  })

  it('refuses an unknown key only temporarily where the sheet may be outdated, since a newer one may contain it', async () => {
    const { harness, worker } = await start()
    harness.isCurrent = false
    const answer = await harness.send('/p/x', { headers: { 'x-key': 'k3' } })
    expect(answer).toMatchObject({ status: 503, headers: { 'retry-after': '0.500' } })
    expect(answer.body).toContain('FORKSTAGE_SHEET_MAY_BE_OLD')
    // A refusal that does not depend on the newest sheet is sent at once.
    expect(await harness.send('/p/x')).toMatchObject({ status: 401 })
    expect(worker.seen).toEqual([])
  })

  it('waits briefly for a newer sheet that it knows to exist', async () => {
    const { harness, worker } = await start()
    harness.isCurrent = false
    const answer = harness.send('/p/x', { headers: { 'x-key': 'k3' } })
    harness.setWorkspaces([ONE, { ...TWO, keys: ['k2', 'k3'] }])
    expect(await answer).toMatchObject({ status: 200 })
    expect(worker.seen[0]!.headers).toMatchObject({ 'x-workspace': 'two' })
  })
})

describe('a public route', () => {
  it.each([
    ['without a key', {}, undefined],
    ['with an unknown key', { 'x-key': 'k3' }, undefined],
    ['with a known key', { 'x-key': 'k2' }, 'two'],
  ])('admits a request %s, and does not forward the key', async (_what, headers, name) => {
    const { harness, worker } = await start([ONE, TWO], true)
    const sent = { ...headers, 'x-workspace': 'one' }
    expect(await harness.send('/p/x', { headers: sent })).toMatchObject({ status: 200 })
    expect(worker.seen[0]!.headers['x-workspace']).toBe(name)
    expect(worker.seen[0]!.headers).not.toHaveProperty('x-key')
  })
})

describe('a sheet without workspaces', () => {
  it('requires no key, forwards the key header to the endpoint, and drops a workspace name', async () => {
    const worker = await FakeWorker.start((request) => void request.socket.end(goodAnswer(request, 'whole')))
    const harness = await GatewayHarness.start([{ address: worker.address }], [{ kind: 'safe' }])
    open.push(harness, worker)
    await harness.send('/p/x', { headers: { 'x-key': 'k3', 'x-workspace': 'one' } })
    expect(worker.seen[0]!.headers).toMatchObject({ 'x-key': 'k3' })
    expect(worker.seen[0]!.headers).not.toHaveProperty('x-workspace')
  })

  it('admits no request on a route that is not public where the list of workspaces is empty', async () => {
    const { harness, worker } = await start([])
    expect(await harness.send('/p/x', { headers: { 'x-key': 'k1' } })).toMatchObject({ status: 401 })
    expect(worker.seen).toEqual([])
  })
})

describe('a quota at one entry', () => {
  const quota = { unit: 'tokens' as const, perSecond: 10, burst: 1_000, plainTokens: 300 }

  it('counts declared tokens, and plain requests by the cost in the sheet, and answers 429 beyond the quota', async () => {
    const { harness, worker } = await start([{ ...ONE, quota }])
    const statuses: number[] = []
    for (const tokens of ['500,100', undefined, '100,80', '1,0']) {
      const headers = { 'x-key': 'k1', ...(tokens === undefined ? {} : { 'x-tokens': tokens }) }
      statuses.push((await harness.send('/p/x', { headers })).status)
    }
    // 10 per second over 8 s plus a burst of 1,000 are 1,080: 600, 300 and 180 use them up.
    expect(statuses).toEqual([200, 200, 200, 429])
    expect(worker.seen).toHaveLength(3)
    expect(harness.reports[3]).toMatchObject({ status: 429, outcome: 'over quota' })
  })

  it("sends a backoff within the caller's deadline", async () => {
    const { harness } = await start([{ ...ONE, quota }])
    const headers = { 'x-key': 'k1', 'x-tokens': '5000,5000' }
    const answers = []
    for (let turn = 0; turn < 12; turn += 1) answers.push(await harness.send('/p/x', { headers }))
    const refused = answers.filter(({ status }) => status === 429)
    expect(refused.length).toBeGreaterThan(0)
    for (const { headers: got } of refused) {
      expect(Number(got['retry-after'])).toBeGreaterThan(0)
      expect(Number(got['retry-after'])).toBeLessThanOrEqual(4)
    }
  })

  it('counts nothing for requests that did not run', async () => {
    const { harness, worker } = await start([{ ...ONE, quota: { ...quota, burst: 700 } }])
    await worker.stop()
    const headers = { 'x-key': 'k1', 'x-tokens': '600,0' }
    const statuses = []
    for (let turn = 0; turn < 3; turn += 1) statuses.push((await harness.send('/p/x', { headers })).status)
    expect(statuses).toEqual([503, 503, 503])
  })

  it.each(['x', '1', '-5,3', '5,-3', '1,2,3', '1.5,2', '99999999999999,1', '1e3,1', ', ', 'NaN,NaN'])(
    'answers 400 to the token counts "%s" and spends nothing',
    async (tokens) => {
      const { harness, worker } = await start([{ ...ONE, quota }])
      const answer = await harness.send('/p/x', { headers: { 'x-key': 'k1', 'x-tokens': tokens } })
      expect(answer.status).toBe(400)
      expect(answer.body).toContain('FORKSTAGE_TOKEN_COUNTS')
      expect(worker.seen).toEqual([])
      const rest = await harness.send('/p/x', { headers: { 'x-key': 'k1', 'x-tokens': '900,50' } })
      expect(rest.status).toBe(200)
    },
  )
})

/** Sends one request on a connection that stays open, and returns the answer's text. */
function ask(socket: Socket, key: string): Promise<string> {
  return new Promise((resolve) => {
    let answer = ''
    const take = (bytes: Buffer) => {
      answer += bytes.toString('latin1')
      const [head = '', body] = answer.split('\r\n\r\n')
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1])
      if (body === undefined || body.length < length) return
      socket.off('data', take)
      resolve(answer)
    }
    socket.on('data', take)
    const rows = ['GET /p/x HTTP/1.1', 'Host: h.example', 'x-id: r1', 'x-deadline: 4000', `x-key: ${key}`]
    socket.write([...rows, '', ''].join('\r\n'))
  })
}
