import type { CancelTimer, Clock } from '@forkstage/clock'
import type { Address, Millis } from '@forkstage/types'
import type { NeighbourSelector } from './neighbourSelector'
import type { PendingConnect, TunnelResult } from './pathTypes'

/** Starts a connection attempt to an endpoint through a box. */
export type Tunnel = (box: Address, endpoint: Address, timeoutMs: Millis) => PendingConnect<TunnelResult>

/** Options of {@link openThroughNeighbours}. */
export interface TunnelAttemptOptions {
  tunnel: Tunnel
  neighbours: NeighbourSelector
  clock: Clock
}

/** Boxes asked for one connection. */
const MAX_ASKED = 4
/** A box that has not answered by then is joined by the next one; most answer within a few milliseconds. */
const NEXT_BOX_DELAY_MS: Millis = 40
/** Longer than a box takes to try the endpoint and to check its own links. */
const BOX_TIMEOUT_MS: Millis = 400

/** Which result counts of several that are not decisive: what is known of the endpoint before what is known of the boxes. */
const PRECEDENCE: Record<TunnelResult['type'], number> = {
  unavailable: 0,
  indirect: 1,
  silent: 2,
  refused: 3,
  connected: 3,
}

/**
 * Asks other boxes for a connection to an endpoint, the next one as soon as one has refused or takes long. Ends with the
 * first connection, or with the first box that knows the endpoint to refuse connections.
 */
export function openThroughNeighbours(
  endpoint: Address,
  { tunnel, neighbours, clock }: TunnelAttemptOptions,
): PendingConnect<TunnelResult> {
  const waiting = neighbours.candidates().slice(0, MAX_ASKED)
  const pending = new Set<PendingConnect<TunnelResult>>()
  let last: TunnelResult = { type: 'unavailable', reason: 'no other box can be asked' }
  let isOver = false
  let cancelNext: CancelTimer = () => undefined
  let resolveResult: (result: TunnelResult) => void = () => undefined
  const result = new Promise<TunnelResult>((resolve) => (resolveResult = resolve))
  let opened: TunnelResult | undefined
  const finish = (final: TunnelResult) => {
    if (isOver) return
    isOver = true
    opened = final
    cancelNext()
    pending.forEach((one) => one.cancel())
    resolveResult(final)
  }
  const handle = (via: Address, one: TunnelResult) => {
    if (isOver) return
    if (one.type === 'connected' || one.type === 'refused')
      return finish(one.type === 'connected' ? { ...one, via } : one)
    if (one.type === 'unavailable') neighbours.recordUnavailable(via)
    if (PRECEDENCE[one.type] >= PRECEDENCE[last.type]) last = one
    askNext()
  }
  const askNext = () => {
    cancelNext()
    const via = waiting.shift()
    if (via === undefined) {
      if (pending.size === 0) finish(last)
      return
    }
    const attempt = tunnel(via, endpoint, BOX_TIMEOUT_MS)
    pending.add(attempt)
    void attempt.result.then((one) => {
      pending.delete(attempt)
      handle(via, one)
    })
    cancelNext = clock.after(NEXT_BOX_DELAY_MS, askNext)
  }
  askNext()
  const cancel = () => {
    finish({ type: 'unavailable', reason: 'given up' })
    if (opened?.type === 'connected') opened.socket.destroy()
  }
  return { result, cancel }
}
