import { describe, expect, it } from 'vitest'
import type { RegisteredEndpoint } from '@forkstage/directory'
import type { Logger } from '@forkstage/logger'
import { logEndpoints } from '../src/logEndpoints'

function endpoints(count: number): RegisteredEndpoint[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `i-${index}`,
    service: 's',
    address: `a:${index}`,
    zone: 'z',
    slots: 1,
    state: index % 2 === 0 ? 'ready' : 'draining',
    models: [],
    sequence: 1,
  }))
}

/** Returns the lines logged for a number of endpoints, each with its event and fields. */
function written(count: number): [string, unknown][] {
  const lines: [string, unknown][] = []
  const logger = { info: (event: string, fields: unknown) => void lines.push([event, fields]) }
  logEndpoints(logger as unknown as Logger, endpoints(count))
  return lines
}

describe('logEndpoints', () => {
  it('logs a line for each of a few endpoints', () => {
    expect(written(3).map(([event]) => event)).toEqual(Array(3).fill('endpoint.registered'))
  })

  it('logs many endpoints in one line of bounded length', () => {
    const lines = written(400)
    expect(lines).toHaveLength(1)
    expect(lines[0]).toMatchObject(['endpoints.changed', { count: 400, states: { 'ready plain': 200 } }])
    expect(JSON.stringify(lines).length).toBeLessThan(400)
  })
})
