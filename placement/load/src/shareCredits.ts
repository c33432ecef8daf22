import type { BoxId, Millis } from '@forkstage/types'

/** A leased share of an endpoint's limit. */
export interface Grant {
  share: number
  until: Millis
}

/** What a box asks for at one endpoint. */
export interface Demand {
  /** Requests it has in flight there. */
  inFlight: number
  /** Requests it would send now if it could. */
  waiting: number
}

/**
 * The share of a limit for one box, given what all boxes ask for and what is granted already.
 * The sum of all unexpired grants never exceeds the limit: a box gets more only once others have
 * returned some at their own renewal.
 */
export function shareFor(
  box: BoxId,
  limit: number,
  demands: Map<BoxId, Demand>,
  grants: Map<BoxId, Grant>,
  now: Millis,
): number {
  const target = targetShares(limit, demands).get(box) ?? 0
  let others = 0
  for (const [other, grant] of grants) if (other !== box && grant.until > now) others += grant.share
  return Math.max(0, Math.min(target, limit - others))
}

/** The part of what no box needs that the owner keeps back for the next box with a burst. */
const RESERVE_SHARE = 0.5

/**
 * Divides a limit: to each box what it needs, as far as possible, then part of what is left in equal parts.
 * The rest is not granted, since unused shares of other boxes are only returned at their renewal.
 */
export function targetShares(limit: number, demands: Map<BoxId, Demand>): Map<BoxId, number> {
  const boxes = [...demands.keys()].sort()
  const needs = new Map(boxes.map((box) => [box, demands.get(box)!.inFlight + demands.get(box)!.waiting]))
  const shares = new Map(boxes.map((box) => [box, 0]))
  const left = fillNeeds(limit, boxes, needs, shares)
  const spread = Math.min(left, Math.max(Math.floor(left * (1 - RESERVE_SHARE)), boxes.length))
  for (let position = 0; position < spread; position += 1) {
    const box = boxes[position % boxes.length]!
    shares.set(box, shares.get(box)! + 1)
  }
  return shares
}

/** Gives equal parts to the boxes until every need is met or nothing is left. @returns what is left. */
function fillNeeds(
  limit: number,
  boxes: BoxId[],
  needs: Map<BoxId, number>,
  shares: Map<BoxId, number>,
): number {
  let left = Math.floor(limit)
  let open = boxes.filter((box) => needs.get(box)! > 0)
  while (left > 0 && open.length > 0) {
    const each = Math.max(1, Math.floor(left / open.length))
    for (const box of open) {
      const given = Math.min(each, needs.get(box)! - shares.get(box)!, left)
      shares.set(box, shares.get(box)! + given)
      left -= given
    }
    open = open.filter((box) => shares.get(box)! < needs.get(box)!)
  }
  return left
}
