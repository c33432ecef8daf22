import type { ObservedPartition } from './partitionFaults'

/** Returns a line about a partition. */
export function describePartition({ from, to, kind, entries }: ObservedPartition): string {
  return `${entries.join(', ')} cut off (${kind}) for ${to - from} ms`
}
