// As a namespace, so that a bundle leaves out what is not used, such as messages in other languages.
import * as z from 'zod'

const ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/
const address = z.string().regex(ADDRESS, 'an IP number and a port, as 127.0.0.1:7000')
const duration = (fallback: number) => z.number().int().min(1).max(3_600_000).default(fallback)

const machineSection = z.strictObject({
  name: z.string().min(1),
  role: z.enum(['entry', 'control']),
  zone: z.string().min(1),
  /** A folder on a disk; control machines only. */
  data_folder: z.string().min(1).optional(),
})

const listenSection = z.strictObject({
  /** Where callers connect; entries only. */
  callers: address.optional(),
  /** Where the balancer asks whether this entry takes callers; entries only. */
  readiness: address.optional(),
  /** Where endpoints register and operators call; control machines only. */
  operators: address.optional(),
  peers: address,
  /** Where counters are read, as /metrics; nowhere if not given. */
  metrics: address.optional(),
})

const controlSection = z.strictObject({
  /** Control machines to begin with. Their IP numbers count; the port is that of `listen.peers`. */
  seeds: z.array(address).min(1),
  /** True on the very first start of the whole system only: the seeds found the group. */
  found: z.boolean().default(false),
  /** Machines that may be lost at once, disks included. */
  losses: z.number().int().min(0).max(10).default(1),
  /** Failure domains that may be lost at once, with all machines in them; 0 where that need not be borne. */
  domain_losses: z.number().int().min(0).max(10).default(0),
  election_timeout_ms: duration(450),
  heartbeat_ms: duration(90),
  snapshot_every: z.number().int().min(2).max(1_000_000).default(3),
  /** A voter silent this long makes room, where enough others remain. */
  silent_ms: duration(2_000),
})

const watchSection = z.strictObject({ hold_ms: duration(1_000) }).prefault({})

const stopSection = z
  .strictObject({
    /** How long the machine has from the signal until it is ended by force. */
    grace_s: z.number().min(0.5).max(3_600).default(8),
    /** How long callers may still arrive after the machine has called itself not ready. */
    unready_ms: duration(2_600),
  })
  .prefault({})

const ordersSection = z
  .strictObject({
    /** How long after one machine's order another must not order, in milliseconds. */
    lease_ms: duration(3_000),
  })
  .prefault({})

const leavingSection = z
  .strictObject({
    /** How long an endpoint goes on serving once it has said that it leaves. */
    serves_ms: duration(2_000),
  })
  .prefault({})

const logSection = z
  .strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    /** Lines of one event a second, warnings apart; what is left out is counted. */
    lines_per_second: z.number().int().min(1).max(100_000).default(200),
  })
  .prefault({})

const retrySection = z
  .strictObject({
    /** Second sendings allowed for each request, over all entries. */
    share: z.number().min(0).max(1).default(0.1),
    /** Second sendings allowed beyond the share in one window, over all entries. */
    slack: z.number().min(0).max(100_000).default(10),
    window_s: z.number().min(0.1).max(3_600).default(10),
  })
  .prefault({})

const quotaSection = z
  .strictObject({
    /** The window over which workspaces are held to their quotas; from the deployment's sheet. */
    window_s: z.number().min(0.1).max(3_600).default(8),
    /** How far entries together may exceed a quota in a window, as a share of it; from the deployment's sheet. */
    over: z.number().min(0).max(1).default(0.1),
    /** The same in units of the quota, beside that share. */
    slack: z.number().min(0).max(1e12).default(0),
    /** How often an entry tells the leader what it has let through, while it serves workspaces with quotas. */
    report_ms: duration(500),
  })
  .prefault({})

const coldSection = z
  .strictObject({
    /** How far entries together may exceed what a cold endpoint bears in a second, as a factor; from the deployment's sheet. */
    over: z.number().min(1).max(100).default(1.5),
    /** The same in requests, beside that factor. */
    slack: z.number().min(0).max(100_000).default(0),
  })
  .prefault({})

const limitsSection = z
  .strictObject({
    /** The window over which endpoints are held to the rates that they name; from the deployment's sheet. */
    window_s: z.number().min(0.1).max(3_600).default(4),
    /** How far entries together may exceed what a rate allows in a window, as a share of it; from the deployment's sheet. */
    over: z.number().min(0).max(100).default(0.5),
    /** The same in requests, beside that share. */
    slack: z.number().min(0).max(100_000).default(5),
    /** How often an entry tells the leader what it has heard and could send, while an endpoint names a rate. */
    report_ms: duration(500),
  })
  .prefault({})

const crashesSection = z
  .strictObject({
    /** Endpoints that must have ended under requests of one content until no more of them are sent. */
    ends: z.number().int().min(1).max(1_000).default(3),
    /** How long such requests are refused after the last of these ends: an hour outlasts a caller's tries by far. */
    keep_s: z.number().min(0).max(86_400).default(3_600),
  })
  .prefault({})

/** The region of each failure domain, by the domain's name. */
const domainsSection = z.record(z.string().min(1), z.string().min(1)).default({})

/** The settings of one machine of a self-registering deployment, as the TOML file spells them. */
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
  crashes: crashesSection,
  domains: domainsSection,
  log: logSection,
})

/** Checked settings with every default filled in. */
export type FleetSettings = z.infer<typeof fleetSchema>
