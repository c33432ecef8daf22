import type { BoxInfo, Members } from '@forkstage/control'
import type { BoxId, EndpointName } from '@forkstage/types'
import { scoreOf } from './scoreOf'

/**
 * The owner of an endpoint, with the version of the box list that it was chosen from, which serves as its
 * fence.
 */
export interface Ownership {
  owner: BoxInfo
  epoch: [term: number, count: number]
}

interface Best {
  box: BoxId
  score: bigint
}

/**
 * Chooses an owner for every endpoint by rendezvous hashing over the live boxes. A box that joins or leaves
 * moves only the endpoints that it gains or owned; each change costs one hash per endpoint.
 */
export class OwnerMap {
  private boxes = new Map<BoxId, BoxInfo>()
  private epoch: [number, number] = [0, 0]
  private readonly best = new Map<EndpointName, Best>()

  /** The version of the box list that the current owners were chosen from. */
  get currentEpoch(): [number, number] {
    return this.epoch
  }

  /** Applies a new list of live boxes. Boxes that are leaving own nothing. */
  update(members: Members): void {
    const live = members.boxes.filter((box) => box.state === 'serving')
    const next = new Map(live.map((box) => [box.box, box]))
    const departed = [...this.boxes.keys()].filter((box) => !next.has(box))
    const joined = live.filter((box) => !this.boxes.has(box.box))
    this.boxes = next
    this.epoch = members.version
    for (const [endpoint, best] of this.best) this.adjust(endpoint, best, departed, joined)
  }

  /** The owner of an endpoint; undefined while no box is known to be live. */
  ownerOf(endpoint: EndpointName): Ownership | undefined {
    const best = this.best.get(endpoint) ?? this.choose(endpoint)
    const owner = best === undefined ? undefined : this.boxes.get(best.box)
    return owner === undefined ? undefined : { owner, epoch: this.epoch }
  }

  private adjust(endpoint: EndpointName, best: Best, departed: BoxId[], joined: BoxInfo[]): void {
    if (departed.includes(best.box)) {
      this.choose(endpoint)
      return
    }
    for (const box of joined) {
      const score = scoreOf(endpoint, box.box)
      const current = this.best.get(endpoint)!
      if (score > current.score) this.best.set(endpoint, { box: box.box, score })
    }
  }

  private choose(endpoint: EndpointName): Best | undefined {
    let best: Best | undefined
    for (const box of this.boxes.keys()) {
      const score = scoreOf(endpoint, box)
      if (best === undefined || score > best.score) best = { box, score }
    }
    if (best === undefined) this.best.delete(endpoint)
    else this.best.set(endpoint, best)
    return best
  }
}
