import { describe, expect, it } from 'vitest'
import type { EndpointRow, Table } from '@forkstage/types'
import {
  applyDelta,
  checkTable,
  diffTables,
  digestTable,
  formatDiff,
  formatTableCsv,
  parseTableCsv,
  TableError,
} from '../src'

const row = (endpoint: string, patch: Partial<EndpointRow> = {}): EndpointRow => ({
  endpoint,
  address: `127.0.0.1:${9000 + endpoint.length * 10 + endpoint.charCodeAt(endpoint.length - 1)}`,
  domain: 'bole-hall',
  service: 'kelem-llm',
  pool: 'prefill',
  models: ['kelem-7b'],
  weight: 1,
  maxInFlight: 8,
  kvTokens: 100_000,
  promptTokensPerSecond: 0,
  state: 'serve',
  checksFences: true,
  repeatable: true,
  ...patch,
})

const table: Table = {
  endpoints: [
    row('p-1'),
    row('dec-1', { pool: 'decode' }),
    row('cards-1', { pool: 'plain', service: 'card-app', models: [], kvTokens: 0, repeatable: false }),
  ],
  links: [{ from: 'bole-hall', to: 'bole-hall', megabitsPerSecond: 20_000 }],
}
const services = new Map([['kelem-7b', 'kelem-llm']])
const faultCells = (broken: Table) =>
  checkTable(broken, { services }).map((fault) => `${fault.row}/${fault.column}`)

describe('checkTable', () => {
  it('accepts a valid table', () => expect(faultCells(table)).toEqual([]))

  it.each(['127.0.0.1:99999', '127.0.0.1:0', '300.1.1.1:80', '[:::1]:80', '[::1]:65536'])(
    'reports the address %s, to which no connection can be opened',
    (address) => {
      const broken = { ...table, endpoints: [...table.endpoints, row('p-2', { address })] }
      expect(faultCells(broken)).toEqual(['p-2/address'])
    },
  )

  it('accepts an IPv6 address in brackets', () => {
    const endpoints = [...table.endpoints, row('p-2', { address: '[::1]:80' })]
    expect(faultCells({ ...table, endpoints })).toEqual([])
  })

  it('reports all faults by row and column', () => {
    const broken = applyDelta(table, {
      upsertEndpoints: [
        row('p-1', { weight: -1, address: 'nowhere' }),
        row('dec-1', { pool: 'decode', weight: 0, models: ['kelem-7b', 'other'] }),
      ],
      removeEndpoints: [],
      upsertLinks: [{ from: 'mars', to: 'bole-hall', megabitsPerSecond: 0 }],
      removeLinks: [],
    })
    expect(faultCells(broken)).toEqual(
      expect.arrayContaining([
        'p-1/weight',
        'p-1/address',
        'dec-1/models',
        '(sheet)/weight',
        'mars>bole-hall/from',
        'mars>bole-hall/megabitsPerSecond',
      ]),
    )
  })

  it('reports a model without a decode endpoint, and duplicate endpoints', () => {
    const halves = { ...table, endpoints: [row('p-1'), row('p-1')] }
    expect(faultCells(halves)).toEqual(
      expect.arrayContaining(['(sheet)/pool', 'p-1/endpoint', 'p-1/address']),
    )
  })
})

describe('CSV and diff', () => {
  it('parses the CSV that it has written', () => {
    expect(digestTable(parseTableCsv(formatTableCsv(table)))).toBe(digestTable(table))
  })

  it('rejects cells that cannot be parsed', () => {
    const sheets = formatTableCsv(table)
    const broken = {
      ...sheets,
      endpoints: sheets.endpoints.replace('prefill', 'prefil').replace(',8,', ',eight,'),
    }
    expect(() => parseTableCsv(broken)).toThrow(TableError)
  })

  it('turns one table into another, and formats the difference', () => {
    const next = {
      ...table,
      endpoints: [row('p-1', { weight: 3 }), ...table.endpoints.slice(2), row('dec-22', { pool: 'decode' })],
    }
    expect(digestTable(applyDelta(table, diffTables(table, next)))).toBe(digestTable(next))
    expect(formatDiff(table, next)).toEqual([
      '- dec-1',
      '+ dec-22 kelem-llm/decode weight=1',
      '~ p-1 weight: 1 -> 3',
    ])
  })
})
