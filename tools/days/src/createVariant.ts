import { parse, stringify } from 'smol-toml'

/** How a variant of a deployment differs: factors, 1 where left out. */
export interface Variant {
  /** Of the engines in each failure domain, at least one of which stays. */
  engines?: number
  /** Of an engine's memory. */
  memory?: number
  /** Of the time that an engine takes for a step and for a prompt. */
  time?: number
}

interface Service {
  llm?: { kv_tokens: number; step_ms: number; prefill_tokens_per_ms: number }
  servers: { count: number }[]
}

/** The text of a deployment file with other engines, so that nothing can depend on the ones that stand there. */
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
