import { isIpv4Address } from '@forkstage/types'
// A namespace import lets the bundler drop unused parts of zod, such as its messages in other languages.
import * as z from 'zod'
import { maxUnreadyMs } from './maxUnreadyMs'

/** Port 0 stands for any free port to listen on. */
const MIN_PORT = 0
const address = z
  .string()
  .refine((text) => isIpv4Address(text, MIN_PORT), 'an IP number and a port up to 65535, as 127.0.0.1:7000')
const duration = (fallback: number) => z.number().int().min(1).max(3_600_000).default(fallback)

/** Default of `stop.unready_ms`, unless the grace time is too short for it. */
const UNREADY_MS = 2_600

const machineSection = z.strictObject({
  name: z.string().min(1),
  role: z.enum(['entry', 'control']),
  zone: z.string().min(1),
  /** Folder on a disk for replicated state; control machines only. */
  data_folder: z.string().min(1).optional(),
})

const listenSection = z.strictObject({
  /** Address for callers; entries only. */
  callers: address.optional(),
  /** Address of the load balancer's readiness check; entries only. */
  readiness: address.optional(),
  /** Address for endpoint registrations and operator requests; control machines only. */
  operators: address.optional(),
  peers: address,
  /** Address that serves /metrics; if absent, metrics are not served. */
  metrics: address.optional(),
})

const controlSection = z.strictObject({
  /** Control machines to contact first. Only the IP address is used; the port is that of `listen.peers`. */
  seeds: z.array(address).min(1),
  /** True only on the first start of the deployment: the seeds then form the replica group. */
  found: z.boolean().default(false),
  /** Number of machines whose simultaneous loss, including their disks, the group must survive. */
  losses: z.number().int().min(0).max(10).default(1),
  /** Number of failure domains whose simultaneous loss, with all their machines, the group must survive; 0 if none. */
  domain_losses: z.number().int().min(0).max(10).default(0),
  election_timeout_ms: duration(450),
  heartbeat_ms: duration(90),
  snapshot_every: z.number().int().min(2).max(1_000_000).default(3),
  /** A voter that has acknowledged nothing for this long is removed, if enough others remain. */
  silent_ms: duration(2_000),
})

const watchSection = z.strictObject({ hold_ms: duration(1_000) }).prefault({})

const stopSection = z
  .strictObject({
    /** Time from the stop signal until the process is killed, in seconds. */
    grace_s: z.number().min(0.5).max(3_600).default(8),
    /** How long new requests may still arrive after the readiness check has failed, in milliseconds. */
    unready_ms: z.number().int().min(1).max(3_600_000).optional(),
  })
  .transform(({ grace_s, unready_ms = Math.min(UNREADY_MS, maxUnreadyMs(grace_s)) }) => ({
    grace_s,
    unready_ms,
  }))
  .prefault({})

const ordersSection = z
  .strictObject({
    /** How long after an order of one machine no other machine may send orders, in milliseconds. */
    lease_ms: duration(3_000),
  })
  .prefault({})

const leavingSection = z
  .strictObject({
    /** How long an endpoint keeps serving after it has announced that it is leaving, in milliseconds. */
    serves_ms: duration(2_000),
  })
  .prefault({})

const logSection = z
  .strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    /** Maximum lines per event and second, with a higher limit for warnings; omitted lines are counted. */
    lines_per_second: z.number().int().min(1).max(100_000).default(200),
  })
  .prefault({})

const retrySection = z
  .strictObject({
    /** Retries allowed as a fraction of all requests, over all entries. */
    share: z.number().min(0).max(1).default(0.1),
    /** Retries allowed in addition to the share per window, over all entries. */
    slack: z.number().min(0).max(100_000).default(10),
    window_s: z.number().min(0.1).max(3_600).default(10),
  })
  .prefault({})

const quotaSection = z
  .strictObject({
    /** Window over which workspace quotas are enforced, in seconds; from the deployment's sheet. */
    window_s: z.number().min(0.1).max(3_600).default(8),
    /** Tolerated excess over a quota per window, of all entries together, as a fraction; from the deployment's sheet. */
    over: z.number().min(0).max(1).default(0.1),
    /** Additional excess per window, in units of the quota. */
    slack: z.number().min(0).max(1e12).default(0),
    /** Interval of an entry's reports of admitted units while it serves workspaces with quotas, in milliseconds. */
    report_ms: duration(500),
  })
  .prefault({})

const coldSection = z
  .strictObject({
    /** Factor by which all entries together may exceed the rate of a cold endpoint; from the deployment's sheet. */
    over: z.number().min(1).max(100).default(1.5),
    /** Additional excess, in requests. */
    slack: z.number().min(0).max(100_000).default(0),
  })
  .prefault({})

const limitsSection = z
  .strictObject({
    /** Window over which the rates advertised by endpoints are enforced, in seconds; from the deployment's sheet. */
    window_s: z.number().min(0.1).max(3_600).default(4),
    /** Tolerated excess over a rate per window, of all entries together, as a fraction; from the deployment's sheet. */
    over: z.number().min(0).max(100).default(0.5),
    /** Additional excess per window, in requests. */
    slack: z.number().min(0).max(100_000).default(5),
    /** Interval of an entry's reports of rates and demand while an endpoint advertises a rate, in milliseconds. */
    report_ms: duration(500),
  })
  .prefault({})

const memorySection = z
  .strictObject({
    /** Memory that the process may use before it is ended, in megabytes. */
    process_mb: z.number().int().min(64).max(1_048_576).default(200),
    /** Share of it that an entry may use for bodies and answers that it holds. */
    held_share: z.number().min(0.05).max(0.9).default(0.3),
  })
  .prefault({})

const connectionsSection = z
  .strictObject({
    /** Descriptors that the process may open; connections of callers and peers take a share of them. */
    descriptors: z.number().int().min(64).max(1_048_576).optional(),
  })
  .prefault({})

const crashesSection = z
  .strictObject({
    /** Number of crashes of endpoints under requests of one content after which such requests are refused. */
    ends: z.number().int().min(1).max(1_000).default(3),
    /** How long such requests are refused after the last crash, in seconds; an hour far outlasts a caller's retries. */
    keep_s: z.number().min(0).max(86_400).default(3_600),
  })
  .prefault({})

/** The region of each failure domain, by the domain's name. */
const domainsSection = z.record(z.string().min(1), z.string().min(1)).default({})

/** Schema of the settings file of one machine of a self-registering deployment. */
export const fleetSchema = z.strictObject({
  machine: machineSection,
  listen: listenSection,
  peers: z.strictObject({
    shared_key: z.string().min(16, 'at least 16 characters'),
    connect_ms: duration(700),
    silent_ms: duration(900),
  }),
  control: controlSection,
  watch: watchSection,
  stop: stopSection,
  retry: retrySection,
  quota: quotaSection,
  orders: ordersSection,
  leaving: leavingSection,
  cold: coldSection,
  limits: limitsSection,
  memory: memorySection,
  connections: connectionsSection,
  crashes: crashesSection,
  domains: domainsSection,
  log: logSection,
})

/** Checked settings with every default filled in. */
export type FleetSettings = z.infer<typeof fleetSchema>
