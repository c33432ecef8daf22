import { parse, stringify } from 'smol-toml'

/** Factors by which a variant differs from its deployment; default: 1. */
export interface Variant {
  /** Factor for the number of engines in each group of servers; at least one remains. */
  engines?: number
  /** Factor for the KV tokens of an engine. */
  memory?: number
  /** Factor for the time of a decode step and of prefill. */
  time?: number
}

interface Service {
  llm?: { kv_tokens: number; step_ms: number; prefill_tokens_per_ms: number }
  servers: { count: number }[]
}

/** Returns the TOML text of a deployment file with changed engines, to show that nothing depends on the given figures. */
export function createVariant(deployment: string, variant: Variant): string {
  const { engines = 1, memory = 1, time = 1 } = variant
  const file = parse(deployment) as { services?: Service[] }
  for (const { llm, servers } of file.services ?? []) {
    if (llm === undefined) continue
    for (const group of servers) group.count = Math.max(1, Math.round(group.count * engines))
    llm.kv_tokens = Math.round(llm.kv_tokens * memory)
    llm.step_ms *= time
    llm.prefill_tokens_per_ms /= time
  }
  return stringify(file)
}
