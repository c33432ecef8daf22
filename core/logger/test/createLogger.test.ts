import { expect, it } from 'vitest'
import { createLogger } from '../src'

it('writes one JSON line per event at or above its level', () => {
  const lines: string[] = []
  const logger = createLogger({
    context: { box: 'bole-1' },
    level: 'info',
    write: (line) => void lines.push(line),
  })
  logger.debug('endpoint.restored', { endpoint: 'p' })
  logger.info('endpoint.restored', { endpoint: 'p' })
  expect(lines).toHaveLength(1)
  expect(JSON.parse(lines[0]!).context).toMatchObject({
    box: 'bole-1',
    event: 'endpoint.restored',
    endpoint: 'p',
  })
})
