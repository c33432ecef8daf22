import type { BoxId, EndpointName, EndpointRow, Table } from '@forkstage/types'
import { scoreOf } from './scoreOf'

/**
 * The part of the table that one box sends work to. Limits the endpoints of each pool by rendezvous hashing
 * of box and endpoint: the selection is stable when other rows are added or removed, and boxes select
 * differently, so that together they cover all of thousands of endpoints.
 */
export class EndpointSubset {
  private readonly scores = new Map<EndpointName, bigint>()

  constructor(
    private readonly box: BoxId,
    private readonly perPool: number,
  ) {}

  /**
   * The table with the rows that this box uses. In a pool above the limit, rows in state `out` do not count
   * and are omitted.
   */
  choose(table: Table): Table {
    const pools = new Map<string, EndpointRow[]>()
    for (const row of table.endpoints) {
      const pool = `${row.service}/${row.pool}`
      const rows = pools.get(pool)
      if (rows === undefined) pools.set(pool, [row])
      else rows.push(row)
    }
    this.forgetMissing(table)
    return { endpoints: [...pools.values()].flatMap((rows) => this.chooseFrom(rows)), links: table.links }
  }

  private chooseFrom(rows: EndpointRow[]): EndpointRow[] {
    if (rows.length <= this.perPool) return rows
    const used = rows.filter((row) => row.state !== 'out')
    const ranked = used.map((row) => ({ row, score: this.scoreOf(row.endpoint) }))
    ranked.sort((left, right) => (left.score > right.score ? -1 : 1))
    return ranked.slice(0, this.perPool).map((each) => each.row)
  }

  private scoreOf(endpoint: EndpointName): bigint {
    const known = this.scores.get(endpoint)
    if (known !== undefined) return known
    const score = scoreOf(endpoint, this.box)
    this.scores.set(endpoint, score)
    return score
  }

  private forgetMissing(table: Table): void {
    if (this.scores.size <= table.endpoints.length) return
    const present = new Set(table.endpoints.map((row) => row.endpoint))
    for (const endpoint of this.scores.keys()) if (!present.has(endpoint)) this.scores.delete(endpoint)
  }
}
