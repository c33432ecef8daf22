import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { fetchEvacuations, orderEvacuation } from '../src/controlClient'

const open: Server[] = []
afterEach(() => open.splice(0).forEach((server) => server.close()))

/** Starts a fake control machine that returns the given statuses in order, the last one repeatedly. */
async function startControl(...statuses: number[]) {
  const calls: string[] = []
  const server = createServer((request, response) => {
    calls.push(`${request.method} ${request.url}`)
    response.statusCode = statuses[Math.min(calls.length, statuses.length) - 1]!
    response.end(JSON.stringify({ index: 7, outcome: 'changed', domains: ['a'] }))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  open.push(server)
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, calls }
}

describe('orderEvacuation', () => {
  it('calls one control machine after another until one confirms the result', async () => {
    const [unsure, sure] = [await startControl(503), await startControl(200)]
    expect(await orderEvacuation([unsure.address, sure.address], 'ør-a', true)).toMatchObject({ index: 7 })
    expect(unsure.calls).toEqual(['POST /evacuate/%C3%B8r-a'])
    expect(sure.calls).toEqual(['POST /evacuate/%C3%B8r-a'])
    await orderEvacuation([sure.address], 'a', false)
    expect(sure.calls[1]).toBe('DELETE /evacuate/a')
  })

  it('fails at once if the name is invalid, or if no address is given', async () => {
    const [refuses, other] = [await startControl(400), await startControl(200)]
    await expect(orderEvacuation([other.address], '', true)).rejects.toMatchObject({
      code: 'FORKSTAGE_DOMAIN_NAME',
    })
    await expect(orderEvacuation([refuses.address, other.address], 'a', true)).rejects.toMatchObject({
      code: 'FORKSTAGE_DOMAIN_NAME',
      hint: expect.stringContaining('63'),
    })
    expect(other.calls).toEqual([])
    await expect(orderEvacuation([], 'a', true)).rejects.toMatchObject({ code: 'FORKSTAGE_NO_ADDRESS' })
  })
})

describe('fetchEvacuations', () => {
  it('returns the evacuations known to each machine, or why they are missing', async () => {
    const [one, broken] = [await startControl(200), await startControl(500)]
    const answers = await fetchEvacuations([one.address, broken.address])
    expect(answers[0]).toMatchObject({ known: { index: 7, domains: ['a'] } })
    expect(answers[1]).toMatchObject({ address: broken.address, reason: expect.stringContaining('500') })
  })
})
