/**
 * How an entry is cut from all endpoints. `hang`: nothing arrives any more, also on open connections; `reset`: open
 * connections are reset and new ones refused; `live`: only new connections are refused.
 */
export const PARTITION_KINDS = ['hang', 'reset', 'live'] as const

export type PartitionKind = (typeof PARTITION_KINDS)[number]

/** Host of the stand-in endpoints; other machines have addresses of their own. */
export const ENDPOINT_HOST = '127.0.0.1'

export function isPartitionKind(text: string): text is PartitionKind {
  return (PARTITION_KINDS as readonly string[]).includes(text)
}
