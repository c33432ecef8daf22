import type { RegisteredEndpoint } from '@forkstage/directory'
import { EVACUATED, regionRule, RESERVED, type SendRule } from '@forkstage/gateway'
import type { Topology } from '@forkstage/topology'

/** What the rules of an entry depend on. */
export interface EntrySendRulesOptions {
  isEvacuated: (endpoint: RegisteredEndpoint) => boolean
  isReserved: (endpoint: RegisteredEndpoint) => boolean
  topology: Topology
}

/** Returns the rules that an entry checks right before each sending. */
export function entrySendRules({ isEvacuated, isReserved, topology }: EntrySendRulesOptions): SendRule[] {
  return [
    (to) => (isEvacuated(to) ? EVACUATED : undefined),
    (to, { isolatedId }) => (isReserved(to) && isolatedId !== to.id ? RESERVED : undefined),
    regionRule(topology),
  ]
}
