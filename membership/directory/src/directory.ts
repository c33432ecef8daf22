import type { InstanceId, RegisteredEndpoint } from './directoryTypes'

/** How many instances that have left are remembered. */
const MAX_LEFT = 5_000

interface Entry {
  endpoint: RegisteredEndpoint
  /** This directory's own count when the entry last changed. */
  changedAt: number
}

/**
 * A merged view of registered endpoints. Merging the same records in any order, any number of times, gives
 * the same view, so machines need not agree on who heard what first.
 */
export class Directory {
  private readonly entries = new Map<InstanceId, Entry>()
  private changes = 0

  /** Counts the changes of this directory; rises with each. */
  get position(): number {
    return this.changes
  }

  get(id: InstanceId): RegisteredEndpoint | undefined {
    return this.entries.get(id)?.endpoint
  }

  /** Every instance that has not left. */
  list(): RegisteredEndpoint[] {
    return [...this.entries.values()].map((entry) => entry.endpoint).filter(({ state }) => state !== 'left')
  }

  /** What changed after a position, oldest first. */
  since(position: number): RegisteredEndpoint[] {
    const changed = [...this.entries.values()].filter((entry) => entry.changedAt > position)
    changed.sort((left, right) => left.changedAt - right.changedAt)
    return changed.map((entry) => entry.endpoint)
  }

  /** Takes what another machine or the instance itself says; returns what was new. */
  merge(records: RegisteredEndpoint[]): RegisteredEndpoint[] {
    const news = records.filter((record) => isNews(this.get(record.id), record))
    for (const record of news) this.set(record)
    if (news.length > 0) this.forgetOldest()
    return news
  }

  /** Notes that an instance has left for good. */
  leave(id: InstanceId): RegisteredEndpoint[] {
    const known = this.get(id)
    const left: RegisteredEndpoint = known ?? {
      id,
      service: '',
      address: '',
      zone: '',
      slots: 0,
      state: 'left',
      models: [],
      sequence: 0,
    }
    return this.merge([{ ...left, state: 'left' }])
  }

  private set(endpoint: RegisteredEndpoint): void {
    this.changes += 1
    // Set anew, so that the map stays in order of change.
    this.entries.delete(endpoint.id)
    this.entries.set(endpoint.id, { endpoint, changedAt: this.changes })
  }

  private forgetOldest(): void {
    const left = [...this.entries.values()].filter(({ endpoint }) => endpoint.state === 'left')
    for (const { endpoint } of left.slice(0, Math.max(0, left.length - MAX_LEFT)))
      this.entries.delete(endpoint.id)
  }
}

function isNews(known: RegisteredEndpoint | undefined, record: RegisteredEndpoint): boolean {
  if (known === undefined) return true
  if (known.state === 'left') return false
  if (record.state === 'left') return true
  if (record.sequence <= known.sequence) return false
  return !sameStatement(known, record)
}

/** Whether two statements differ in nothing but their sequence. A draining instance stays so. */
function sameStatement(known: RegisteredEndpoint, record: RegisteredEndpoint): boolean {
  return JSON.stringify({ ...known, sequence: 0 }) === JSON.stringify({ ...record, sequence: 0 })
}
