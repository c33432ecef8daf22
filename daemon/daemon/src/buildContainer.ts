import 'reflect-metadata'
import { randomBytes } from 'node:crypto'
import { Container } from 'inversify'
import { collectDefaultMetrics, Registry } from 'prom-client'
import { JournalClient, type JournalCommand, type JournalResult } from '@forkstage/claims'
import { createSystemClock, createSystemRandom } from '@forkstage/clock'
import { EngineClient } from '@forkstage/engine-client'
import { GroupClient } from '@forkstage/group'
import { TableFollower } from '@forkstage/lease'
import { EndpointTracker, OutputForecast, RetryBudget } from '@forkstage/load'
import { createLogger } from '@forkstage/logger'
import { CreditClient, OwnerService } from '@forkstage/owner'
import { EndpointSubset, OwnerMap } from '@forkstage/owners'
import { parseAddress, PeerClient } from '@forkstage/peer-rpc'
import { ALL_PARTS, type PlacePolicy } from '@forkstage/place'
import { Placer, PlainCalls, ReleaseSender, RequestMetrics, RunRegistry, TraceStore } from '@forkstage/runner'
import { advertisedAddress, type Settings } from '@forkstage/settings'
import { BoxGroups, journalGroup } from './boxGroups'
import { BoxState } from './boxState'
import { FLEET_TOKEN } from './fleetToken'
import { FleetService } from './fleetService'
import { TOKENS } from './tokens'

const REPORT_EVERY_MS = 200
const SWEEP_EVERY_MS = 1_000
const RENEW_CREDITS_EVERY_MS = 250
const RENEW_CREDITS_IDLE_MS = 1_000
/** Exceeds the delay of reports plus the time that a step may be in transit. */
const HOLD_GRACE_MS = 3_000
const BOX_GONE_GRACE_MS = 8_000
const JOURNAL_DEADLINE_MS = 5_000
/** Assumed between failure domains without a row in the link table: 10 Gbit/s. */
const DEFAULT_LINK_BYTES_PER_MS = 1_250_000

/** Builds the container with a box's components. Nothing runs until {@link BoxDaemon} starts it. */
export function buildContainer(settings: Settings, stop: () => void): Container {
  const container = new Container({ defaultScope: 'Singleton' })
  bindBasics(container, settings)
  bindMembership(container, settings)
  bindPlacement(container, settings)
  bindRequests(container, settings)
  container.bind(FLEET_TOKEN).toDynamicValue(() => new FleetService(container, stop))
  return container
}

function bindBasics(container: Container, settings: Settings): void {
  const { box } = settings
  const registry = new Registry()
  collectDefaultMetrics({ register: registry })
  container.bind(TOKENS.settings).toConstantValue(settings)
  container.bind(TOKENS.clock).toConstantValue(createSystemClock())
  container.bind(TOKENS.random).toConstantValue(createSystemRandom())
  container
    .bind(TOKENS.logger)
    .toConstantValue(createLogger({ context: { box: box.name }, level: settings.log.level }))
  container
    .bind(TOKENS.origin)
    .toConstantValue({ box: box.name, incarnation: randomBytes(5).toString('hex') })
  container.bind(TOKENS.state).toConstantValue(new BoxState())
  container.bind(TOKENS.metricsRegistry).toConstantValue(registry)
  container.bind(TOKENS.metrics).toConstantValue(new RequestMetrics(registry))
  container.bind(TOKENS.peers).toDynamicValue((context) => {
    const credentials = {
      box: box.name,
      sharedKey: settings.peers.shared_key,
      tls: settings.peers.tls,
      localAddress: parseAddress(settings.listen.peers).host,
    }
    return new PeerClient({
      credentials,
      clock: context.get(TOKENS.clock),
      logger: context.get(TOKENS.logger),
    })
  })
  container.bind(TOKENS.engines).toDynamicValue((context) => {
    return new EngineClient({ clock: context.get(TOKENS.clock), callTimeoutMs: ENGINE_CALL_TIMEOUT_MS })
  })
}

const ENGINE_CALL_TIMEOUT_MS = 2_000

function bindMembership(container: Container, settings: Settings): void {
  const { box, lease, control } = settings
  container.bind(TOKENS.groups).toDynamicValue((context) => {
    const [peers, clock, random, logger] = [
      context.get(TOKENS.peers),
      context.get(TOKENS.clock),
      context.get(TOKENS.random),
      context.get(TOKENS.logger),
    ]
    return new BoxGroups({ settings, peers, clock, random, logger })
  })
  container.bind(TOKENS.owners).toConstantValue(new OwnerMap())
  container.bind(TOKENS.follower).toDynamicValue((context) => {
    const { incarnation } = context.get(TOKENS.origin)
    const state = context.get(TOKENS.state)
    const refreshOwners = () => container.get(TOKENS.ownerService).refresh()
    const subset = new EndpointSubset(box.name, settings.policy.follow_per_pool)
    return new TableFollower({
      self: () => ({
        box: box.name,
        incarnation,
        address: advertisedAddress(settings),
        domain: box.domain,
        state: state.isLeaving ? 'leaving' : 'serving',
      }),
      firstReplicas: control.replicas.map((replica) => replica.address),
      peers: context.get(TOKENS.peers),
      clock: context.get(TOKENS.clock),
      logger: context.get(TOKENS.logger),
      tableLease: lease.table_ms,
      heartbeatEvery: lease.ask_every_ms,
      onTable: ({ table, version }) => {
        const hasNew = container.get(TOKENS.tracker).setTable(subset.choose(table))
        container.get(TOKENS.metrics).tableVersion.set(version)
        refreshOwners()
        if (hasNew) container.get(TOKENS.credits).renew()
      },
      onMembers: (members) => {
        container.get(TOKENS.owners).update(members)
        container.get(TOKENS.tracker).setLeaving(members.leaving)
        refreshOwners()
        container.get(TOKENS.credits).renew()
      },
    })
  })
}

function bindPlacement(container: Container, settings: Settings): void {
  const { box, policy } = settings
  container.bind(TOKENS.tracker).toDynamicValue((context) => {
    return new EndpointTracker({
      clock: context.get(TOKENS.clock),
      random: context.get(TOKENS.random),
      logger: context.get(TOKENS.logger),
    })
  })
  container.bind(TOKENS.forecast).toConstantValue(new OutputForecast())
  container.bind(TOKENS.budget).toConstantValue(new RetryBudget(policy.retry_share))
  container.bind(TOKENS.ownerService).toDynamicValue((context) => {
    const follower = context.get(TOKENS.follower)
    return new OwnerService({
      box: box.name,
      owners: context.get(TOKENS.owners),
      members: () => follower.members,
      rows: () => follower.table.table.endpoints,
      holdsLease: () => follower.holdsLease(),
      engines: context.get(TOKENS.engines),
      peers: context.get(TOKENS.peers),
      clock: context.get(TOKENS.clock),
      logger: context.get(TOKENS.logger),
      reportEvery: REPORT_EVERY_MS,
      sweepEvery: SWEEP_EVERY_MS,
      graceMs: HOLD_GRACE_MS,
      goneGraceMs: BOX_GONE_GRACE_MS,
    })
  })
  container.bind(TOKENS.credits).toDynamicValue((context) => {
    return new CreditClient({
      box: box.name,
      owners: context.get(TOKENS.owners),
      tracker: context.get(TOKENS.tracker),
      peers: context.get(TOKENS.peers),
      clock: context.get(TOKENS.clock),
      renewEvery: RENEW_CREDITS_EVERY_MS,
      renewIdleEvery: RENEW_CREDITS_IDLE_MS,
      waitingFor: (endpoint) => {
        const isPlain = container.get(TOKENS.tracker).row(endpoint)?.pool === 'plain'
        return isPlain ? container.get(TOKENS.plain).waiting : container.get(TOKENS.placer).waiting
      },
      onUpdate: () => container.get(TOKENS.placer).drain(),
    })
  })
  container.bind(TOKENS.placer).toDynamicValue((context) => {
    return new Placer({
      tracker: context.get(TOKENS.tracker),
      policyName: policy.name,
      policy: readPolicy(settings),
      forecast: context.get(TOKENS.forecast),
      budget: context.get(TOKENS.budget),
      clock: context.get(TOKENS.clock),
      random: context.get(TOKENS.random),
      logger: context.get(TOKENS.logger),
      metrics: context.get(TOKENS.metrics),
      requestCredits: () => container.get(TOKENS.credits).renewSoon(),
    })
  })
}

function readPolicy(settings: Settings): PlacePolicy {
  const { policy } = settings
  const off = Object.fromEntries(policy.switched_off.map((part) => [part, false]))
  return {
    goodputWeight: policy.goodput_weight,
    wastedPrefillWeight: policy.wasted_prefill_weight,
    ttftTarget: policy.ttft_target_ms,
    tbtTarget: policy.tbt_target_ms,
    defaultBytesPerMs: DEFAULT_LINK_BYTES_PER_MS,
    parts: { ...ALL_PARTS, ...off },
  }
}

function bindRequests(container: Container, settings: Settings): void {
  const { box, request, policy, journal } = settings
  container
    .bind(TOKENS.traces)
    .toDynamicValue((context) => new TraceStore(box.name, context.get(TOKENS.clock)))
  container.bind(TOKENS.journal).toDynamicValue((context) => {
    const follower = context.get(TOKENS.follower)
    const [peers, clock] = [context.get(TOKENS.peers), context.get(TOKENS.clock)]
    const replicas = () => follower.replicas
    const groups = Array.from({ length: journal.groups }, (_, index) => {
      return new GroupClient<JournalCommand, JournalResult>({
        group: journalGroup(index),
        replicas,
        peers,
        clock,
      })
    })
    return new JournalClient({
      groups,
      owner: { ...context.get(TOKENS.origin), address: advertisedAddress(settings) },
      deadline: JOURNAL_DEADLINE_MS,
    })
  })
  container.bind(TOKENS.releases).toDynamicValue((context) => {
    const tracker = context.get(TOKENS.tracker)
    return new ReleaseSender({
      engines: context.get(TOKENS.engines),
      row: (endpoint) => tracker.row(endpoint),
      clock: context.get(TOKENS.clock),
      logger: context.get(TOKENS.logger),
    })
  })
  container.bind(TOKENS.runs).toDynamicValue((context) => {
    const follower = context.get(TOKENS.follower)
    const shared = {
      journal: context.get(TOKENS.journal),
      clock: context.get(TOKENS.clock),
    }
    const parts = {
      ...shared,
      engines: context.get(TOKENS.engines),
      tracker: context.get(TOKENS.tracker),
      forecast: context.get(TOKENS.forecast),
      placer: context.get(TOKENS.placer),
      releases: context.get(TOKENS.releases),
      traces: context.get(TOKENS.traces),
      metrics: context.get(TOKENS.metrics),
      logger: context.get(TOKENS.logger),
      engineStepMs: request.engine_step_ms,
      stallMs: request.stall_ms,
      ttftTarget: policy.ttft_target_ms,
      tbtTarget: policy.tbt_target_ms,
      outcomeBytes: journal.outcome_bytes,
    }
    return new RunRegistry({
      ...shared,
      parts,
      origin: context.get(TOKENS.origin),
      members: () => follower.members,
      peers: context.get(TOKENS.peers),
      reconnectMs: request.reconnect_ms,
    })
  })
  container.bind(TOKENS.plain).toDynamicValue((context) => {
    return new PlainCalls({
      journal: context.get(TOKENS.journal),
      tracker: context.get(TOKENS.tracker),
      traces: context.get(TOKENS.traces),
      clock: context.get(TOKENS.clock),
      logger: context.get(TOKENS.logger),
      outcomeBytes: journal.outcome_bytes,
      random: context.get(TOKENS.random),
      requestCredits: () => container.get(TOKENS.credits).renewSoon(),
    })
  })
}
