/** Speed and memory of a fake engine. */
export interface EngineProfile {
  prefillTokensPerSecond: number
  /** Fixed cost of one prefill. */
  prefillBaseMs: number
  /** Duration of a decode step with an empty batch, and what each stream and each 10,000 tokens of KV cache add. */
  stepBaseMs: number
  stepPerStreamMs: number
  stepPer10kTokensMs: number
  /** Factor by which a decode step takes longer while the engine also runs a prefill. */
  stepFactorInPrefill: number
  kvTokens: number
  /** Tokens of the KV memory that the prefix cache may fill. */
  cacheTokens: number
  blockTokens: number
  /** How long prefill results and finished streams are kept. */
  keepMs: number
  checksFences: boolean
  deterministic: boolean
}

export const DEFAULT_PROFILE: EngineProfile = {
  prefillTokensPerSecond: 20_000,
  prefillBaseMs: 8,
  stepBaseMs: 14,
  stepPerStreamMs: 0.7,
  stepPer10kTokensMs: 0.6,
  stepFactorInPrefill: 1.8,
  kvTokens: 160_000,
  cacheTokens: 60_000,
  blockTokens: 256,
  keepMs: 4_000,
  checksFences: true,
  deterministic: true,
}
