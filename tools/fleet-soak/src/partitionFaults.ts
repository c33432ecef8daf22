import type { Random } from '@forkstage/clock'
import type { SoakMachine } from './machineSettings'
import { PARTITION_KINDS, type PartitionKind } from './partitionKinds'
import { pause } from './pause'
import type { SoakFleet } from './soakFleet'

/** Some entries lose their links to all endpoints for a while. */
export interface PartitionFault {
  /** Milliseconds after the start. */
  at: number
  forMs: number
  kind: PartitionKind
  /** Index of the first entry that is cut off. */
  first: number
  /** Number of entries that are cut off. */
  count: number
}

/** A partition that took place, in Unix milliseconds. */
export interface ObservedPartition {
  from: number
  to: number
  kind: PartitionKind
  entries: string[]
}

const FIRST_MAX_MS = 2_000
const MIN_GAP_MS = 500
const MAX_GAP_MS = 5_000
const MIN_FAULT_MS = 1_500
const MAX_FAULT_MS = 6_000
const QUIET_END_MS = 8_000

/** Draws partitions of up to all but one of the entries, one after the other, some of them in quick succession. */
export function planPartitions(durationMs: number, entries: number, random: Random): PartitionFault[] {
  const faults: PartitionFault[] = []
  for (let at = random() * FIRST_MAX_MS; at < durationMs - QUIET_END_MS;) {
    const forMs = MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS)
    const kind = PARTITION_KINDS[Math.floor(random() * PARTITION_KINDS.length)]!
    const count = 1 + Math.floor(random() * (entries - 1))
    faults.push({ at, forMs, kind, first: Math.floor(random() * entries), count })
    at += forMs + MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS)
  }
  return faults
}

/** Injects the partitions at their times; returns what took place once all have ended. */
export async function runPartitions(
  faults: PartitionFault[],
  fleet: SoakFleet,
): Promise<ObservedPartition[]> {
  const run = async ({ at, forMs, kind, first, count }: PartitionFault): Promise<ObservedPartition> => {
    await pause(at)
    const cut = Array.from(
      { length: count },
      (_, index) => fleet.entries[(first + index) % fleet.entries.length]!,
    )
    const observed = { from: Date.now(), to: Infinity, kind, entries: cut.map(({ name }) => name) }
    cut.forEach((entry: SoakMachine) => fleet.partition(entry, kind))
    await pause(forMs)
    cut.forEach((entry: SoakMachine) => fleet.partition(entry, undefined))
    return { ...observed, to: Date.now() }
  }
  return Promise.all(faults.map(run))
}
