import type { EndpointRow, LinkRow, Table } from '@forkstage/types'

/** The layout of a deployment: boxes, failure domains, services and policy weights. */
export interface Site {
  name: 'addis' | 'colombo'
  domains: string[]
  /** Boxes by name; the first one of each failure domain is a control replica. */
  boxes: { name: string; domain: string; control: boolean }[]
  modelService: string
  model: string
  plainService: string
  kvBytesPerToken: number
  goodputWeight: number
  wastedPrefillWeight: number
}

function createSite(site: Omit<Site, 'boxes'> & { prefixes: string[]; count: number }): Site {
  const { prefixes, count, ...rest } = site
  const boxes = Array.from({ length: count }, (_, index) => {
    const domain = index % prefixes.length
    const number = Math.floor(index / prefixes.length) + 1
    return { name: `${prefixes[domain]}-${number}`, domain: rest.domains[domain]!, control: number === 1 }
  })
  return { ...rest, boxes }
}

/** Addis Kelem: three halls, 7 boxes, a higher weight for goodput. */
export const ADDIS: Site = createSite({
  name: 'addis',
  domains: ['bole-hall', 'arada-hall', 'kality-hall'],
  prefixes: ['bole', 'arada', 'kality'],
  count: 7,
  modelService: 'kelem-llm',
  model: 'kelem-7b',
  plainService: 'card-app',
  kvBytesPerToken: 60_000,
  goodputWeight: 2,
  wastedPrefillWeight: 1,
})

/** Ledger Assistant Fleet, Colombo: three failure domains, 8 boxes, a higher weight for wasted prefill. */
export const COLOMBO: Site = createSite({
  name: 'colombo',
  domains: ['col-a', 'col-b', 'col-c'],
  prefixes: ['col-a', 'col-b', 'col-c'],
  count: 8,
  modelService: 'ledger-llm',
  model: 'ledger-7b',
  plainService: 'clerk-desk',
  kvBytesPerToken: 60_000,
  goodputWeight: 1,
  wastedPrefillWeight: 2,
})

/** Returns a site with another number of boxes, distributed round-robin over its failure domains. */
export function scaleSite(site: Site, count: number): Site {
  const boxes = Array.from({ length: count }, (_, index) => {
    const known = site.boxes[index % site.domains.length]!
    return {
      name: `${known.domain}-${index + 1}`,
      domain: known.domain,
      control: index < site.domains.length,
    }
  })
  return { ...site, boxes }
}

/** Ports of a site's stand-ins, by pool. */
export interface SitePorts {
  prefill: number[]
  decode: number[]
  plain: number[]
}

const MEGABITS_WITHIN_REGION = 100_000
const ENGINE_LIMITS = {
  weight: 1,
  maxInFlight: 48,
  kvTokens: 160_000,
  promptTokensPerSecond: 0,
  state: 'serve' as const,
  checksFences: true,
  repeatable: true,
}

/** Returns the site's first table: one row for each port, with links between all failure domains. */
export function createTable(site: Site, ports: SitePorts): Table {
  const engine =
    (pool: 'prefill' | 'decode') =>
    (port: number, index: number): EndpointRow => ({
      ...ENGINE_LIMITS,
      endpoint: `${site.modelService}-${pool}-${index + 1}`,
      address: `127.0.0.1:${port}`,
      domain: site.domains[index % site.domains.length]!,
      service: site.modelService,
      pool,
      models: [site.model],
    })
  const plain = (port: number, index: number): EndpointRow => ({
    ...ENGINE_LIMITS,
    endpoint: `${site.plainService}-${index + 1}`,
    address: `127.0.0.1:${port}`,
    domain: site.domains[index % site.domains.length]!,
    service: site.plainService,
    pool: 'plain',
    models: [],
    kvTokens: 0,
    repeatable: false,
  })
  const endpoints = [
    ...ports.prefill.map(engine('prefill')),
    ...ports.decode.map(engine('decode')),
    ...ports.plain.map(plain),
  ]
  return { endpoints, links: createLinks(site) }
}

function createLinks(site: Site): LinkRow[] {
  return site.domains.flatMap((from) =>
    site.domains.map((to) => ({ from, to, megabitsPerSecond: MEGABITS_WITHIN_REGION })),
  )
}
