import type { GaugeReader } from './fleetMetrics'

/** Returns the values of some gauges by name; of a gauge with labels, the sum. */
export function readHoldings(
  readers: Record<string, GaugeReader>,
  names: readonly string[],
): Record<string, number> {
  return Object.fromEntries(names.map((name) => [name, valueOf(readers[name])]))
}

function valueOf(read: GaugeReader | undefined): number {
  const value = read?.() ?? 0
  return typeof value === 'number' ? value : Object.values(value).reduce((sum, one) => sum + one, 0)
}
