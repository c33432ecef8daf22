import { z } from 'zod'

const ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/

/** The parts of the placement policy that can be switched off for an experiment. */
const POLICY_PARTS = [
  'refuseLate',
  'prefixCache',
  'links',
  'decodeLoad',
  'localPrefill',
  'weights',
  'spread',
] as const

const address = z.string().regex(ADDRESS, 'an IP number and a port, as 127.0.0.1:7000')
const duration = (fallback: number) => z.number().int().min(1).max(3_600_000).default(fallback)
const credential = z.strictObject({
  name: z.string().min(1),
  token: z.string().min(8, 'at least 8 characters'),
})

const tls = z.strictObject({ certificate: z.string(), key: z.string(), authority: z.string() })

const boxSection = z.strictObject({
  name: z.string().min(1),
  domain: z.string().min(1),
  roles: z
    .array(z.enum(['entry', 'control']))
    .min(1)
    .default(['entry']),
  data_folder: z.string().optional(),
})

const listenSection = z.strictObject({
  callers: address,
  operators: address,
  peers: address,
  peers_advertise: address.optional(),
})

const controlSection = z.strictObject({
  replicas: z.array(z.strictObject({ box: z.string().min(1), address })).min(1),
  election_timeout_ms: duration(600),
  heartbeat_ms: duration(100),
  snapshot_every: z.number().int().min(10).max(1_000_000).default(5_000),
})

const leaseSection = z
  .strictObject({
    table_ms: duration(3_000),
    ask_every_ms: duration(1_000),
    box_gone_after_ms: duration(3_500),
  })
  .prefault({})

const journalSection = z
  .strictObject({
    groups: z.number().int().min(1).max(256).default(1),
    retain_ms: z.number().int().min(10_000).max(86_400_000).default(600_000),
    max_claims: z.number().int().min(100).max(10_000_000).default(100_000),
    max_outcome_total_bytes: z.number().int().min(0).max(4_294_967_296).default(67_108_864),
    outcome_bytes: z.number().int().min(0).max(1_048_576).default(16_384),
  })
  .prefault({})

const policySection = z
  .strictObject({
    name: z.enum(['forkstage', 'round-robin', 'least-in-flight', 'prefix-affinity']).default('forkstage'),
    goodput_weight: z.number().min(0).max(10).default(1),
    wasted_prefill_weight: z.number().min(0).max(10).default(1),
    ttft_target_ms: duration(770),
    tbt_target_ms: duration(61),
    switched_off: z.array(z.enum(POLICY_PARTS)).default([]),
    follow_per_pool: z.number().int().min(1).max(10_000).default(64),
    retry_share: z.number().min(0).max(1).default(0.1),
  })
  .prefault({})

const requestSection = z
  .strictObject({
    key_header: z
      .string()
      .regex(/^[a-z0-9-]+$/, 'a header name in lower case')
      .default('idempotency-key'),
    max_body_bytes: z.number().int().min(1_024).max(268_435_456).default(4_194_304),
    deadline_ms: duration(60_000),
    engine_step_ms: duration(5_000),
    stall_ms: duration(1_500),
    reconnect_ms: duration(1_500),
  })
  .prefault({})

const modelSection = z.strictObject({
  name: z.string().min(1),
  service: z.string().min(1),
  context_tokens: z.number().int().min(1).max(10_000_000),
  kv_bytes_per_token: z.number().int().min(1).default(160_000),
})

const stopSection = z.strictObject({ unready_ms: duration(1_000), drain_ms: duration(60_000) }).prefault({})

/** Schema of the settings file of one box. */
export const settingsSchema = z.strictObject({
  box: boxSection,
  listen: listenSection,
  peers: z.strictObject({ shared_key: z.string().min(16, 'at least 16 characters'), tls: tls.optional() }),
  control: controlSection,
  lease: leaseSection,
  journal: journalSection,
  policy: policySection,
  request: requestSection,
  stop: stopSection,
  platform: z.strictObject({ members: z.url() }).optional(),
  models: z.array(modelSection).default([]),
  callers: z.array(credential).min(1),
  operators: z.array(credential).min(1),
  log: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') }).prefault({}),
})

/** Checked settings with every default filled in. */
export type Settings = z.infer<typeof settingsSchema>
/** The settings of one model. */
export type ModelSettings = z.infer<typeof modelSection>
