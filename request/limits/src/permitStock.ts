import type { InstanceId } from '@forkstage/directory'
import type { Millis } from '@forkstage/types'

/** Permits that an entry has for one endpoint. */
interface Stock {
  /** Until when each may be used, the first to run out first. */
  untilMs: Millis[]
  /** Those that ran out unused and have not been given back yet. */
  lapsed: number
}

/** What an entry may send to endpoints that name rates, by the leader's word; each permit is for one request. */
export class PermitStock {
  private readonly stocks = new Map<InstanceId, Stock>()

  add(id: InstanceId, count: number, untilMs: Millis): void {
    if (count <= 0) return
    const stock = this.stocks.get(id) ?? { untilMs: [], lapsed: 0 }
    stock.untilMs.push(...Array.from({ length: count }, () => untilMs))
    this.stocks.set(id, stock)
  }

  /** How many may be used now. */
  count(id: InstanceId, now: Millis): number {
    const stock = this.stocks.get(id)
    if (stock === undefined) return 0
    this.dropLapsed(stock, now)
    return stock.untilMs.length
  }

  /** Uses one; says whether there was one. */
  use(id: InstanceId, now: Millis): boolean {
    if (this.count(id, now) === 0) return false
    this.stocks.get(id)!.untilMs.shift()
    return true
  }

  /** How many have run out unused since this was asked. */
  takeLapsed(id: InstanceId, now: Millis): number {
    this.count(id, now)
    const stock = this.stocks.get(id)
    if (stock === undefined) return 0
    const { lapsed } = stock
    if (stock.untilMs.length === 0) this.stocks.delete(id)
    else stock.lapsed = 0
    return lapsed
  }

  /** What was promised before a suspension of this machine is not used any more, nor given back: time is not known. */
  clear(): void {
    this.stocks.clear()
  }

  private dropLapsed(stock: Stock, now: Millis): void {
    while (stock.untilMs.length > 0 && stock.untilMs[0]! <= now) {
      stock.untilMs.shift()
      stock.lapsed += 1
    }
  }
}
