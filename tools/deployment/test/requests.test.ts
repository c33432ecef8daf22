import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import type { ClaimOwner } from '@forkstage/claims'
import { ADDIS, sendChat, sendPlain, waitUntil, type Deployment } from '../src'
import {
  enginePorts,
  readDecodeCounts,
  readPlainCalls,
  readHolds,
  setFaults,
  startDeployment,
  stopDeployment,
  waitNothingHeld,
} from './harness'

let deployment: Deployment
beforeAll(async () => void (deployment = await startDeployment()))
afterAll(() => stopDeployment(deployment))
beforeEach(async () => {
  await setFaults([...enginePorts(deployment), ...deployment.ports.plain], {})
  for (const box of deployment.boxes) {
    if (box.process?.child.exitCode !== null || box.process.child.signalCode !== null)
      deployment.startBox(box)
  }
  await deployment.waitReady()
})

const handbook = 'valve gate seal reading '.repeat(300)
const chatOptions = (key: string, tokens: number) => ({
  model: ADDIS.model,
  prompt: `${handbook} question ${key} [[answer=${tokens}]]`,
  maxTokens: 400,
  headers: { 'idempotency-key': key },
})
const [first, second, third, , , , last] = [0, 1, 2, 3, 4, 5, 6].map(
  (index) => () => deployment.boxes[index]!,
) as (() => Deployment['boxes'][number])[]

describe('requests through real processes', () => {
  it('refuses bad input before any dispatch, with code, message and hint', async () => {
    const chat = (body: string, headers = {}) =>
      sendPlain(first!(), '/v1/chat/completions', { method: 'POST', body, headers })
    const long = JSON.stringify({
      model: ADDIS.model,
      messages: [{ role: 'user', content: 'x'.repeat(140_000) }],
    })
    const good = JSON.stringify({ model: ADDIS.model, messages: [{ role: 'user', content: 'hi' }] })
    const answers = await Promise.all([
      chat('{'),
      chat('{"model":"kelem-7b"}'),
      chat('{"model":"none","messages":[{"role":"user","content":"x"}]}'),
      chat(long),
      chat('x'.repeat(5_000_000)),
      chat(good, { 'last-event-id': '3' }),
      chat(good, { 'x-forkstage-repeatable': 'maybe' }),
      chat(good, { authorization: 'Bearer wrong-token' }),
      sendPlain(first!(), '/no-such-service/x'),
    ])
    expect(answers.map(({ status }) => status)).toEqual([400, 400, 404, 413, 413, 400, 400, 401, 404])
    expect(answers.map(({ execution }) => execution)).toEqual(answers.map(() => 'not-run'))
    for (const { body } of answers)
      expect(JSON.parse(body.toString()).error).toMatchObject({ code: /^FORKSTAGE_/, hint: /./ })
  })

  it('gives the same answer, from one decode, to one key sent to two boxes concurrently', async () => {
    const [left, right] = await Promise.all([
      sendChat(first!(), chatOptions('both', 20)),
      sendChat(second!(), chatOptions('both', 20)),
    ])
    expect([left.whole, right.whole]).toEqual([true, true])
    expect(left.text).toBe(right.text)
    expect(left.request).toBe(right.request)
    const answered = await readDecodeCounts(deployment)
    expect(answered.get(left.request)).toBe(1)
    const again = await sendChat(third!(), chatOptions('both', 20))
    expect(again.text).toBe(left.text)
    expect((await readDecodeCounts(deployment)).get(left.request)).toBe(1)
    await waitNothingHeld(deployment)
  })

  it('refuses a key that was used for another request', async () => {
    await sendChat(first!(), chatOptions('reused', 3))
    const other = await sendChat(second!(), { ...chatOptions('reused', 3), prompt: 'something else' })
    expect([other.status, other.execution, other.error?.code]).toEqual([
      422,
      'not-run',
      'FORKSTAGE_KEY_REUSED',
    ])
  })

  it('resumes a stream at another box after its entry was killed, without missing or duplicate tokens', async () => {
    const whole = await sendChat(first!(), chatOptions('whole', 120))
    const killedBox = last!()
    let tokens = ''
    let lastId = 0
    const cut = sendChat(killedBox, {
      ...chatOptions('resumed', 120),
      onToken: (text, id) => {
        tokens += text
        lastId = id
        if (id === 20) killedBox.process?.kill('SIGKILL')
      },
    })
    await cut.catch(() => undefined)
    expect(lastId).toBeGreaterThanOrEqual(20)
    expect(lastId).toBeLessThan(120)
    const headers = { 'idempotency-key': 'resumed', 'last-event-id': String(lastId) }
    const rest = await sendChat(second!(), { ...chatOptions('resumed', 120), headers })
    expect([rest.whole, rest.lastEventId, rest.tokens]).toEqual([true, 120, 120 - lastId])
    const all = await sendChat(third!(), chatOptions('resumed', 120))
    expect(all.text).toBe(tokens + rest.text)
    expect(all.text.length).toBeGreaterThan(whole.text.length / 2)
    await waitNothingHeld(deployment)
  })

  it('releases all holds of a request when its caller disconnects, at any step', async () => {
    for (const afterTokens of [0, 1, 5]) {
      const abort = new AbortController()
      const abandoned = sendChat(first!(), {
        model: ADDIS.model,
        prompt: handbook,
        maxTokens: 300,
        signal: abort.signal,
        headers: {},
        onToken: (_, id) => {
          if (id === afterTokens) abort.abort()
        },
      })
      if (afterTokens === 0) {
        await waitUntil(async () => (await readHolds(deployment)).length > 0, {
          what: 'the request to have a hold',
        })
        abort.abort()
      }
      await abandoned.catch(() => undefined)
      await waitNothingHeld(deployment, 5_000)
    }
  })

  it('releases the holds of an entry that was killed before the first token', async () => {
    await setFaults(deployment.ports.prefill, { hangPrefills: true })
    const killedBox = last!()
    const lost = sendChat(killedBox, chatOptions('dies-in-prefill', 10)).catch(() => undefined)
    await waitUntil(async () => (await readHolds(deployment)).some((hold) => hold.kind === 'prefill'), {
      what: 'a prefill to start',
    })
    await deployment.kill(killedBox)
    await lost
    await setFaults(deployment.ports.prefill, {})
    await waitNothingHeld(deployment)
  })

  it('completes an answer despite duplicate, swapped and cut frames', async () => {
    await setFaults(deployment.ports.decode, { doubleFrames: true, swapFrames: true })
    const swapped = await sendChat(first!(), chatOptions('swapped', 40))
    await setFaults(deployment.ports.decode, { cutStreamsAfter: 25 })
    const cut = await sendChat(second!(), chatOptions('cut', 40))
    expect([swapped.whole, swapped.tokens, cut.whole, cut.tokens]).toEqual([true, 40, true, 40])
  })

  it('uses another engine when transfers to one stall', async () => {
    await setFaults([deployment.ports.decode[0]!, deployment.ports.decode[1]!], { stallTransfers: true })
    const answers = await Promise.all(
      [0, 1, 2, 3].map((n) => sendChat(first!(), chatOptions(`stall-${n}`, 5))),
    )
    expect(answers.map(({ whole }) => whole)).toEqual([true, true, true, true])
    await setFaults(deployment.ports.decode, {})
    await waitNothingHeld(deployment)
  })

  it('answers "not run" with a retry time when every engine refuses', async () => {
    await setFaults(deployment.ports.prefill, { refuse: true })
    await setFaults(deployment.ports.decode, { refuse: true })
    const refused = await sendChat(second!(), chatOptions('refused', 5))
    expect([refused.whole, refused.execution]).toEqual([false, 'not-run'])
    expect(refused.retryAfterMs).toBeGreaterThan(0)
    await setFaults(enginePorts(deployment), {})
    await waitUntil(async () => (await sendChat(second!(), chatOptions('refused', 5))).whole, {
      what: 'the same key to be served',
    })
  })
})

describe('calls that must not be repeated', () => {
  const save = (box: Deployment['boxes'][number], key: string) =>
    sendPlain(box, `/${ADDIS.plainService}/saves/1?card=2`, {
      method: 'POST',
      body: 'known',
      headers: { 'idempotency-key': key },
    })
  const countRuns = async (key: string) =>
    (await readPlainCalls(deployment)).filter((call) => call.key === key).length

  it('run once, and a retry at any box gets the first answer', async () => {
    const answers = await Promise.all([first!(), second!(), third!()].map((box) => save(box, 'save-1')))
    const ran = answers.filter(({ execution }) => execution === 'ran')
    expect(ran.length).toBeGreaterThan(0)
    expect(answers.every(({ execution }) => execution === 'ran' || execution === 'may-have-run')).toBe(true)
    const later = await save(third!(), 'save-1')
    expect([later.execution, later.body.toString()]).toEqual(['ran', 'known'])
    expect(await countRuns('save-1')).toBe(1)
  })

  it('answer "may have run" when the outcome is lost, and are never run again', async () => {
    await setFaults(deployment.ports.plain, { cutAfterRun: true })
    const lost = await save(first!(), 'save-2')
    await setFaults(deployment.ports.plain, {})
    const again = await save(second!(), 'save-2')
    expect([lost.execution, again.execution, again.status]).toEqual(['may-have-run', 'may-have-run', 409])
    expect(await countRuns('save-2')).toBe(1)
  })

  it('are not run again by any box after their entry was killed while they ran', async () => {
    await setFaults(deployment.ports.plain, { delayMs: 600_000 })
    const killedBox = last!()
    const lost = save(killedBox, 'save-3').catch(() => undefined)
    await waitUntil(async () => (await countRuns('save-3')) === 1, { what: 'the save to reach the service' })
    await deployment.kill(killedBox)
    await lost
    await setFaults(deployment.ports.plain, {})
    const again = await save(second!(), 'save-3')
    expect([again.execution, await countRuns('save-3')]).toEqual(['may-have-run', 1])
  })

  it('answer "not run" when the service proves it, and a retry runs under the same key', async () => {
    await setFaults(deployment.ports.plain, { refuse: true })
    const refused = await save(first!(), 'save-4')
    await setFaults(deployment.ports.plain, {})
    expect([refused.execution, await countRuns('save-4')]).toEqual(['not-run', 0])
    await waitUntil(async () => (await save(second!(), 'save-4')).execution === 'ran', {
      what: 'the save to run',
    })
    expect(await countRuns('save-4')).toBe(1)
  })

  it('reach the service with unchanged method, query, headers and bytes', async () => {
    const bytes = Buffer.from([0, 255, 13, 10, 128])
    const answer = await sendPlain(first!(), `/${ADDIS.plainService}/decks/a%20b?x=1&x=2`, {
      method: 'PUT',
      body: bytes,
      headers: { 'content-type': 'application/octet-stream' },
    })
    expect(answer.body.equals(bytes)).toBe(true)
    expect(
      (await readPlainCalls(deployment)).some(
        (call) => call.method === 'PUT' && call.url === '/decks/a%20b?x=1&x=2' && call.bytes === 5,
      ),
    ).toBe(true)
  })
})

describe('when every box restarts', () => {
  it('an open claim is served again and a settled claim gets its answer', async () => {
    const settled = await sendChat(first!(), chatOptions('settled', 6))
    const open = sendChat(second!(), chatOptions('open', 300)).catch(() => undefined)
    await waitUntil(async () => (await readHolds(deployment)).some((hold) => hold.kind === 'stream'), {
      what: 'the stream to run',
    })
    await Promise.all(deployment.boxes.map((box) => deployment.kill(box)))
    await open
    deployment.boxes.forEach((box) => deployment.startBox(box))
    await deployment.waitReady()
    const again = await sendChat(third!(), chatOptions('settled', 6))
    expect([again.whole, again.text, again.request]).toEqual([true, settled.text, settled.request])
    const reopened = await sendChat(first!(), chatOptions('open', 300))
    expect([reopened.whole, reopened.tokens]).toEqual([true, 300])
    await waitNothingHeld(deployment)
    // The outcome is settled after the last byte is sent, see docs/PROMISES.md.
    const isSettled = async () => {
      const path = `/v1/explain/${encodeURIComponent(reopened.request)}`
      const explained = await deployment.callOperator<{ claim?: { owner: ClaimOwner; outcome?: object } }>(
        first!(),
        'GET',
        path,
      )
      return explained.claim?.outcome !== undefined
    }
    await waitUntil(isSettled, { what: 'the outcome to be settled' })
  })
})
