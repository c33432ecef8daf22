import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { intersectRegions, isWithinRegions, type AllowedRegions } from '@forkstage/topology'
import type { Route } from '@forkstage/routes'
import { chunk, event, FakeWorker, goodAnswer, type SeenRequest } from './fakeWorker'
import { GatewayHarness, TOPOLOGY } from './gatewayHarness'

const RUNS = Number(process.env.RUNS ?? 40)
const SEED = Number(process.env.SEED ?? 20261202)
const DOMAINS = ['z', 'z2', 'e1', 'e2', 's1', 's2', 'unnamed']

/** The regions of the plain route, of the streaming route and of the workspace. */
interface Sheet {
  plain: AllowedRegions
  model: AllowedRegions
  workspace: AllowedRegions
}

const regionSets: fc.Arbitrary<AllowedRegions> = fc.oneof(
  { weight: 3, arbitrary: fc.constant(undefined) },
  { weight: 6, arbitrary: fc.subarray(['west', 'east', 'south', 'nowhere'], { minLength: 2 }) },
  { weight: 1, arbitrary: fc.subarray(['west', 'nowhere']) },
)
const sheet: fc.Arbitrary<Sheet> = fc.record({ plain: regionSets, model: regionSets, workspace: regionSets })
/** What an endpoint does with a request. */
const behaviour = fc.constantFrom('answer', 'answer', 'answer', 'cut', 'not-run', 'half')
const step = fc.record({ behaviour, newSheet: fc.option(sheet, { nil: undefined, freq: 2 }) })
const domain = fc.constantFrom(...DOMAINS)
const endpoint = fc.record({ stage: fc.constantFrom(undefined, 'prefill', 'decode'), zone: domain })

function routesOf({ plain, model }: Sheet): Partial<Route>[] {
  const mutable = (regions: AllowedRegions) => (regions === undefined ? undefined : [...regions])
  return [
    { name: 'plain', attempts: 3, targetMs: 100, regions: mutable(plain) },
    {
      name: 'model',
      prefix: '/m/',
      kind: 'streaming',
      resumable: true,
      attempts: 3,
      targetMs: 100,
      shares: [{ service: 'model', weight: 1 }],
      regions: mutable(model),
    },
  ]
}

const workspaceOf = ({ workspace }: Sheet) => [
  {
    name: 'w',
    keys: ['key-1'],
    priority: 0,
    regions: workspace === undefined ? undefined : [...workspace],
  },
]

function answer(request: SeenRequest, behaviour: string): void {
  const { socket, line, headers } = request
  if (behaviour === 'cut') return void socket.destroy()
  if (behaviour === 'not-run')
    return void socket.end('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n')
  if (line.includes(' /p/') || headers['x-stage'] === 'read')
    return void socket.end(goodAnswer(request, 'handle7'))
  socket.write(goodAnswer(request, '', ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']))
  socket.write(chunk(event(1)))
  if (behaviour === 'half') setImmediate(() => socket.destroy())
  else socket.end('0\r\n\r\n')
}

describe('every send', () => {
  it('goes to an endpoint within the regions of its route and workspace in the sheet in force', async () => {
    let sendings = 0
    let answered = 0
    await fc.assert(
      fc.asyncProperty(
        sheet,
        fc.array(endpoint, { minLength: 8, maxLength: 12, size: 'max' }),
        fc.array(step, { minLength: 30, maxLength: 30 }),
        async (first, endpoints, steps) => {
          let inForce = first
          let at = 0
          const violations: string[] = []
          const domainAt = new Map<string, string>()
          const arrive = (zone: string) => (request: SeenRequest) => {
            // Releasing the KV cache transfers nothing of the request.
            if (request.line.startsWith('DELETE'))
              return void request.socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            sendings += 1
            const isPlain = request.line.includes(' /p/')
            const allowed = intersectRegions(isPlain ? inForce.plain : inForce.model, inForce.workspace)
            const source = request.headers['x-kv-from']?.split('#')[0]
            for (const place of [zone, ...(source === undefined ? [] : [domainAt.get(source)!])])
              if (!isWithinRegions(TOPOLOGY, place, allowed)) violations.push(`${request.line} at ${place}`)
            const { behaviour, newSheet } = steps[at++ % steps.length]!
            if (newSheet !== undefined) {
              inForce = newSheet
              harness.setWorkspaces(workspaceOf(newSheet), routesOf(newSheet))
            }
            answer(request, behaviour)
          }
          const workers = await Promise.all(endpoints.map(({ zone }) => FakeWorker.start(arrive(zone))))
          workers.forEach(({ address }, index) => domainAt.set(address, endpoints[index]!.zone))
          const harness = await GatewayHarness.start(
            endpoints.map((fields, index) => ({
              ...fields,
              service: fields.stage === undefined ? 'plain' : 'model',
              address: workers[index]!.address,
            })),
            routesOf(first),
            {},
            workspaceOf(first),
          )
          try {
            for (let request = 0; request < 6; request += 1) {
              const got = harness.send(request % 2 === 0 ? '/m/' : '/p/', {
                headers: { 'x-key': 'key-1', 'x-id': `r${request}`, 'x-tokens': '10,10' },
                body: 'x',
              })
              if ((await got).status === 200) answered += 1
            }
          } finally {
            await Promise.all([harness, ...workers].map((each) => each.stop()))
          }
          expect(violations).toEqual([])
        },
      ),
      { numRuns: RUNS, seed: SEED },
    )
    // The property is checked only if requests are sent and answered.
    expect(sendings).toBeGreaterThan(RUNS * 4)
    expect(answered).toBeGreaterThan(RUNS)
  })
})
