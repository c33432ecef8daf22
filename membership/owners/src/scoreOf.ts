import { createHash } from 'node:crypto'
import type { BoxId, EndpointName } from '@forkstage/types'

/** The rendezvous score of an endpoint at a box: the same on every box. */
export function scoreOf(endpoint: EndpointName, box: BoxId): bigint {
  return createHash('sha1').update(`${endpoint}\n${box}`).digest().readBigUInt64BE(0)
}
