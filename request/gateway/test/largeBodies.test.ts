import { randomBytes } from 'node:crypto'
import { afterEach, describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import type { Route } from '@forkstage/routes'
import { BodyEndpoint, digestOf, readAndAnswer, type BodyWork } from './bodyEndpoint'
import { BodySender } from './bodySender'
import { BODY_MEMORY_BYTES, GatewayHarness } from './gatewayHarness'

const MB = 1024 * 1024
const MAX_BYTES = 4 * MB
const DEADLINE = 'x-deadline: 30000'

const open: { stop(): unknown }[] = []
afterEach(async () => void (await Promise.all(open.splice(0).map((each) => each.stop()))))

async function start(work: BodyWork[], route: Partial<Route> = {}) {
  const endpoints = await Promise.all(work.map((each) => BodyEndpoint.start(each)))
  const harness = await GatewayHarness.start(
    endpoints.map(({ address }) => ({ address, slots: 100 })),
    [{ kind: 'unsafe', attempts: 1, timeoutMs: 30_000, targetMs: 10_000, ...route }],
    { maxBodyBytes: MAX_BYTES },
  )
  open.push(harness, ...endpoints)
  let highest = 0
  const watch = setInterval(() => (highest = Math.max(highest, harness.bodyMemory.heldBytes)), 1)
  open.push({ stop: () => clearInterval(watch) })
  return { harness, endpoints, highest: () => highest }
}

/** Sends bodies at once; resolves to the statuses of their answers. */
async function sendAll(port: number, bodies: Buffer[]): Promise<number[]> {
  const senders = bodies.map((body, index) => {
    const rows = [`Content-Length: ${body.length}`, DEADLINE, 'Connection: close']
    const sender = new BodySender(port, `r${index}`, rows)
    sender.socket.write(body)
    return sender
  })
  await Promise.all(senders.map((sender) => sender.waitForClose()))
  return senders.map(({ status }) => status)
}

/** Resolves once an entry holds no bodies. */
async function released(harness: GatewayHarness): Promise<void> {
  while (harness.bodyMemory.heldBytes > 0) await new Promise((resolve) => setImmediate(resolve))
}

function lengthRow(bytes: number): string {
  return `Content-Length: ${bytes}`
}

/** Answers once the test says so. */
function answersLater() {
  const answers: (() => void)[] = []
  const work: BodyWork = (endpoint, request, response) =>
    endpoint.read(request, () => void answers.push(() => endpoint.answer(request, response)))
  return { answers, work }
}

describe('large bodies', () => {
  it('take no more than the budget, at endpoints that work for long on requests that must not run twice', async () => {
    const count = 24
    const { answers, work } = answersLater()
    const { harness, endpoints, highest } = await start([work], { targetMs: 100_000 })
    const bodies = Array.from({ length: count }, (_, index) => Buffer.alloc(MAX_BYTES, `body ${index} `))
    const sent = sendAll(harness.port, bodies)
    await endpoints[0]!.waitFor(() => endpoints[0]!.bodies.size === count)
    expect(highest()).toBeGreaterThan(0)
    expect(highest()).toBeLessThanOrEqual(BODY_MEMORY_BYTES)
    answers.forEach((answer) => answer())
    expect(await sent).toEqual(Array(count).fill(200))
    bodies.forEach((body, index) => expect(endpoints[0]!.bodies.get(`r${index}`)).toEqual([digestOf(body)]))
    await released(harness)
  })

  it('get 503 before they are read where there is no room, which cuts no request that runs and holds up no small one', async () => {
    const { answers, work } = answersLater()
    const { harness, endpoints } = await start([work], { kind: 'safe', attempts: 2, targetMs: 1_000 })
    const [endpoint] = endpoints
    const sent = sendAll(harness.port, [Buffer.alloc(MAX_BYTES, 'a'), Buffer.alloc(MAX_BYTES, 'b')])
    await endpoint!.waitFor(() => endpoint!.bodies.size === 2)
    const refused = new BodySender(harness.port, 'refused', [lengthRow(MAX_BYTES), DEADLINE])
    // Less than it announces, so that an answer cannot follow from the whole body.
    refused.socket.write(Buffer.alloc(MB))
    await refused.waitFor('FORKSTAGE_NO_MEMORY')
    expect(refused.status).toBe(503)
    expect(refused.received).toMatch(/retry-after: (0\.\d+|1\.000)/i)
    expect(refused.received).toMatch(/connection: close/i)
    refused.socket.destroy()
    while (harness.ingress.connections > 2) await new Promise((resolve) => setImmediate(resolve))
    // Its caller had the whole answer.
    expect(harness.warnings).not.toContainEqual(expect.objectContaining({ event: 'answer.unsent' }))
    const small = harness.send('/p/x', { body: 'small', headers: { 'x-id': 'small' } })
    await endpoint!.waitFor(() => endpoint!.bodies.has('small'))
    answers.forEach((answer) => answer())
    expect((await small).status).toBe(200)
    expect(await sent).toEqual([200, 200])
    expect(endpoint!.arrived).not.toContain('refused')
    expect(harness.warnings).toContainEqual(
      expect.objectContaining({
        event: 'request.unread',
        request: 'refused',
        outcome: 'no-room',
        status: 503,
      }),
    )
  })

  it.each([
    ['for which there is no room', lengthRow(MAX_BYTES), MAX_BYTES, 503],
    ['that are too large', lengthRow(2 * MAX_BYTES), 2 * MAX_BYTES, 413],
  ])(
    'bring the whole answer to a caller that reads it after it has sent all, %s',
    async (_why, row, bytes, status) => {
      const { answers, work } = answersLater()
      const { harness, endpoints } = await start([work], { kind: 'safe', attempts: 2, targetMs: 500 })
      const sent = sendAll(harness.port, [Buffer.alloc(MAX_BYTES, 'a'), Buffer.alloc(MAX_BYTES, 'b')])
      await endpoints[0]!.waitFor(() => endpoints[0]!.bodies.size === 2)
      const late = new BodySender(harness.port, 'late', [row, DEADLINE])
      late.socket.pause()
      await new Promise<void>((resolve) => late.socket.write(Buffer.alloc(bytes), () => resolve()))
      late.socket.resume()
      await late.waitForClose()
      expect(late.status).toBe(status)
      expect(late.received).toMatch(/"message":"[^"]+"}$/)
      answers.forEach((answer) => answer())
      expect(await sent).toEqual([200, 200])
    },
  )

  it('are asked for only once there is room', async () => {
    const { answers, work } = answersLater()
    const { harness, endpoints } = await start([work], { kind: 'safe', attempts: 2, targetMs: 500 })
    const [endpoint] = endpoints
    const rows = [lengthRow(MAX_BYTES), DEADLINE, 'Expect: 100-continue', 'Connection: close']
    const held = ['a', 'b'].map((id) => new BodySender(harness.port, id, rows))
    for (const one of held) {
      await one.waitFor('100 Continue')
      one.socket.write(Buffer.alloc(MAX_BYTES))
    }
    await endpoint!.waitFor(() => endpoint!.bodies.size === 2)
    const refused = new BodySender(harness.port, 'refused', rows)
    await refused.waitFor('FORKSTAGE_NO_MEMORY')
    expect(refused.received).not.toContain('100 Continue')
    answers.forEach((answer) => answer())
    await Promise.all(held.map((one) => one.waitFor('200 OK')))
  })

  it('arrive whole in chunks, and are refused where they become too large', async () => {
    const { harness, endpoints } = await start([readAndAnswer])
    const body = randomBytes(3 * MB + 17)
    const rows = ['Transfer-Encoding: chunked', DEADLINE, 'Connection: close']
    const sender = new BodySender(harness.port, 'chunked', rows)
    for (let at = 0; at < body.length; at += 300_001) {
      const chunk = body.subarray(at, at + 300_001)
      sender.socket.write(`${chunk.length.toString(16)}\r\n`)
      sender.socket.write(chunk)
      sender.socket.write('\r\n')
    }
    sender.socket.write('0\r\n\r\n')
    await sender.waitForClose()
    expect(sender.status).toBe(200)
    expect(endpoints[0]!.bodies.get('chunked')).toEqual([digestOf(body)])
    const larger = new BodySender(harness.port, 'larger', rows)
    larger.socket.write(`${(2 * MAX_BYTES).toString(16)}\r\n`)
    larger.socket.write(Buffer.alloc(MAX_BYTES + 1))
    await larger.waitFor('FORKSTAGE_BODY_TOO_LARGE')
    expect(endpoints[0]!.arrived).toEqual(['chunked'])
    await released(harness)
  })

  it('that are not whole when their time is up get 408, and their room is free', async () => {
    const { harness, endpoints } = await start([readAndAnswer])
    const slow = new BodySender(harness.port, 'slow', [lengthRow(MAX_BYTES), 'x-deadline: 200'])
    slow.socket.write(Buffer.alloc(MB))
    await slow.waitFor('FORKSTAGE_BODY_TOO_SLOW')
    expect(slow.status).toBe(408)
    await released(harness)
    expect(endpoints[0]!.arrived).toEqual([])
  })

  it('of callers that are too slow to send them in time give way to others', async () => {
    const { harness, endpoints } = await start([readAndAnswer], { targetMs: 100_000 })
    const slow = ['a', 'b'].map((id) => new BodySender(harness.port, id, [lengthRow(MAX_BYTES), DEADLINE]))
    await Promise.all(slow.map((one) => new Promise((resolve) => one.socket.write('some', resolve))))
    while (harness.bodyMemory.heldBytes === 0) await new Promise((resolve) => setImmediate(resolve))
    const body = Buffer.alloc(MAX_BYTES, 'whole')
    expect(await sendAll(harness.port, [body])).toEqual([200])
    expect(endpoints[0]!.bodies.get('r0')).toEqual([digestOf(body)])
    const statuses = slow.map(({ status }) => status)
    expect(statuses.filter((status) => status !== 408 && status !== 0)).toEqual([])
  })

  it('are sent again unchanged after a loss', async () => {
    const breaks: BodyWork = (endpoint, request) =>
      endpoint.read(request, () => request.socket.resetAndDestroy())
    const { harness, endpoints } = await start([breaks, breaks, readAndAnswer], { kind: 'safe', attempts: 3 })
    const body = randomBytes(2 * MB)
    expect(await sendAll(harness.port, [body])).toEqual([200])
    const seen = endpoints.flatMap(({ bodies }) => bodies.get('r0') ?? [])
    expect(seen.length).toBeGreaterThan(0)
    expect(new Set(seen)).toEqual(new Set([digestOf(body)]))
  })

  it('that were let go are refused as not run where their endpoint refuses them, and go elsewhere otherwise', async () => {
    const refuse: BodyWork = (endpoint, request, response) =>
      endpoint.read(request, () => {
        const isLate = request.headers['x-id'] === 'r0'
        if (!isLate) return endpoint.answer(request, response)
        answers.push(() => response.writeHead(503, { 'x-not-run': '1' }).end())
      })
    const answers: (() => void)[] = []
    const { harness, endpoints } = await start([refuse, refuse], { targetMs: 100_000, attempts: 2 })
    const first = sendAll(harness.port, [Buffer.alloc(MAX_BYTES, 'first')])
    const arrivals = () => endpoints.flatMap(({ bodies }) => bodies.get('r0') ?? []).length
    const pollArrival = async (count: number) => {
      while (arrivals() < count) await new Promise((resolve) => setImmediate(resolve))
    }
    await pollArrival(1)
    answers.shift()!()
    // Nothing needed its room, so that it was kept.
    await pollArrival(2)
    const others = ['x', 'y'].map((id) => {
      const sender = new BodySender(harness.port, id, [lengthRow(MAX_BYTES), DEADLINE])
      sender.socket.write(Buffer.alloc(MAX_BYTES / 2))
      return sender
    })
    while (harness.bodyMemory.heldBytes < 2 * MAX_BYTES || harness.bodyMemory.isSpent)
      await new Promise((resolve) => setImmediate(resolve))
    answers.shift()!()
    expect(await first).toEqual([503])
    expect(arrivals()).toBe(2)
    others.forEach((one) => one.socket.write(Buffer.alloc(MAX_BYTES / 2)))
    await Promise.all(others.map((one) => one.waitFor('200 OK')))
  })

  it('do not turn into others at an endpoint that reads on after it has answered', async () => {
    const unread: (() => void)[] = []
    const early: BodyWork = (endpoint, request, response) => {
      if (String(request.headers['x-id']) !== 'early') return readAndAnswer(endpoint, request, response)
      request.socket.on('close', () => (closed += 1))
      unread.push(() => endpoint.read(request, () => response.end()))
      response.writeHead(200, { 'x-id': 'early', 'x-stamp': 'signed', 'content-length': 5 })
      response.write('whole')
    }
    let closed = 0
    const { harness, endpoints } = await start([early], { targetMs: 100_000 })
    const body = Buffer.alloc(MAX_BYTES, 'early')
    const sender = new BodySender(harness.port, 'early', [lengthRow(body.length), DEADLINE])
    sender.socket.write(body)
    await sender.waitFor('200 OK')
    const others = Array.from({ length: 4 }, (_, index) => Buffer.alloc(MAX_BYTES, `other ${index}`))
    expect(await sendAll(harness.port, others)).toEqual([200, 200, 200, 200])
    unread.forEach((read) => read())
    while (closed < unread.length) await new Promise((resolve) => setImmediate(resolve))
    const whole = endpoints[0]!.bodies.get('early') ?? []
    expect(whole.filter((digest) => digest !== digestOf(body))).toEqual([])
  })

  it.each([1, 2, 3])('reach endpoints as they were sent, whatever endpoints do, seed %i', async (seed) => {
    const random = createSeededRandom(seed)
    const faulty: BodyWork = (endpoint, request, response) => {
      const draw = random()
      if (draw < 0.5) return readAndAnswer(endpoint, request, response)
      if (draw < 0.65) return void setTimeout(() => request.socket.resetAndDestroy(), random() * 20)
      if (draw < 0.8) return void response.writeHead(503, { 'x-not-run': '1' }).end()
      // Answers, and reads on later.
      endpoint.answer(request, response)
      setTimeout(() => endpoint.read(request, () => undefined), random() * 50)
    }
    const { harness, endpoints } = await start([faulty, faulty], { kind: 'safe', attempts: 3 })
    const sizes = Array.from({ length: 40 }, () => Math.floor(random() ** 3 * MAX_BYTES))
    const bodies = sizes.map((size) => randomBytes(size))
    const statuses = await sendAll(harness.port, bodies)
    expect(statuses.filter((status) => ![200, 502, 503].includes(status))).toEqual([])
    for (const endpoint of endpoints)
      for (const [id, digests] of endpoint.bodies)
        expect(new Set(digests)).toEqual(new Set([digestOf(bodies[Number(id.slice(1))]!)]))
    await released(harness)
  })
})
