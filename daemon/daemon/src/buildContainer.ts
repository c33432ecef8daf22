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
import { FLEET } from './fleetPart'
import { FleetService } from './fleetService'
import { PARTS } from './parts'

const REPORT_EVERY_MS = 200
const SWEEP_EVERY_MS = 1_000
const RENEW_CREDITS_EVERY_MS = 250
const RENEW_CREDITS_IDLE_MS = 1_000
/** Exceeds the lag of reports and the time a step may be on its way. */
const HOLD_GRACE_MS = 3_000
const BOX_GONE_GRACE_MS = 8_000
const JOURNAL_DEADLINE_MS = 5_000
/** Between failure domains without a row in the link sheet: 10 Gbit/s. */
const DEFAULT_LINK_BYTES_PER_MS = 1_250_000

/** Puts the parts of a box together. Nothing runs until {@link BoxDaemon} starts it. */
export function buildContainer(settings: Settings, stop: () => void): Container {
  const container = new Container({ defaultScope: 'Singleton' })
  bindBasics(container, settings)
  bindMembership(container, settings)
  bindPlacement(container, settings)
  bindRequests(container, settings)
  container.bind(FLEET).toDynamicValue(() => new FleetService(container, stop))
  return container
}

function bindBasics(container: Container, settings: Settings): void {
  const { box } = settings
  const registry = new Registry()
  collectDefaultMetrics({ register: registry })
  container.bind(PARTS.settings).toConstantValue(settings)
  container.bind(PARTS.clock).toConstantValue(createSystemClock())
  container.bind(PARTS.random).toConstantValue(createSystemRandom())
  container
    .bind(PARTS.logger)
    .toConstantValue(createLogger({ context: { box: box.name }, level: settings.log.level }))
  container.bind(PARTS.origin).toConstantValue({ box: box.name, incarnation: randomBytes(5).toString('hex') })
  container.bind(PARTS.state).toConstantValue(new BoxState())
  container.bind(PARTS.registry).toConstantValue(registry)
  container.bind(PARTS.meters).toConstantValue(new RequestMetrics(registry))
  container.bind(PARTS.peers).toDynamicValue((context) => {
    const credentials = {
      box: box.name,
      sharedKey: settings.peers.shared_key,
      tls: settings.peers.tls,
      localAddress: parseAddress(settings.listen.peers).host,
    }
    return new PeerClient({ credentials, clock: context.get(PARTS.clock), logger: context.get(PARTS.logger) })
  })
  container.bind(PARTS.engines).toDynamicValue((context) => {
    return new EngineClient({ clock: context.get(PARTS.clock), callTimeoutMs: ENGINE_CALL_MS })
  })
}

const ENGINE_CALL_MS = 2_000

function bindMembership(container: Container, settings: Settings): void {
  const { box, lease, control } = settings
  container.bind(PARTS.groups).toDynamicValue((context) => {
    const [peers, clock, random, logger] = [
      context.get(PARTS.peers),
      context.get(PARTS.clock),
      context.get(PARTS.random),
      context.get(PARTS.logger),
    ]
    return new BoxGroups({ settings, peers, clock, random, logger })
  })
  container.bind(PARTS.owners).toConstantValue(new OwnerMap())
  container.bind(PARTS.follower).toDynamicValue((context) => {
    const { incarnation } = context.get(PARTS.origin)
    const state = context.get(PARTS.state)
    const refreshOwners = () => container.get(PARTS.ownerService).refresh()
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
      peers: context.get(PARTS.peers),
      clock: context.get(PARTS.clock),
      logger: context.get(PARTS.logger),
      tableLease: lease.table_ms,
      askEvery: lease.ask_every_ms,
      onTable: ({ table, version }) => {
        const hasNew = container.get(PARTS.book).setTable(subset.choose(table))
        container.get(PARTS.meters).tableVersion.set(version)
        refreshOwners()
        if (hasNew) container.get(PARTS.credits).renew()
      },
      onMembers: (members) => {
        container.get(PARTS.owners).update(members)
        container.get(PARTS.book).setLeaving(members.leaving)
        refreshOwners()
        container.get(PARTS.credits).renew()
      },
    })
  })
}

function bindPlacement(container: Container, settings: Settings): void {
  const { box, policy } = settings
  container.bind(PARTS.book).toDynamicValue((context) => {
    return new EndpointTracker({
      clock: context.get(PARTS.clock),
      random: context.get(PARTS.random),
      logger: context.get(PARTS.logger),
    })
  })
  container.bind(PARTS.forecast).toConstantValue(new OutputForecast())
  container.bind(PARTS.budget).toConstantValue(new RetryBudget(policy.retry_share))
  container.bind(PARTS.ownerService).toDynamicValue((context) => {
    const follower = context.get(PARTS.follower)
    return new OwnerService({
      box: box.name,
      owners: context.get(PARTS.owners),
      members: () => follower.members,
      rows: () => follower.table.table.endpoints,
      holdsLease: () => follower.holdsLease(),
      engines: context.get(PARTS.engines),
      peers: context.get(PARTS.peers),
      clock: context.get(PARTS.clock),
      logger: context.get(PARTS.logger),
      reportEvery: REPORT_EVERY_MS,
      sweepEvery: SWEEP_EVERY_MS,
      graceMs: HOLD_GRACE_MS,
      goneGraceMs: BOX_GONE_GRACE_MS,
    })
  })
  container.bind(PARTS.credits).toDynamicValue((context) => {
    return new CreditClient({
      box: box.name,
      owners: context.get(PARTS.owners),
      tracker: context.get(PARTS.book),
      peers: context.get(PARTS.peers),
      clock: context.get(PARTS.clock),
      renewEvery: RENEW_CREDITS_EVERY_MS,
      renewIdleEvery: RENEW_CREDITS_IDLE_MS,
      waitingFor: (endpoint) => {
        const isPlain = container.get(PARTS.book).row(endpoint)?.pool === 'plain'
        return isPlain ? container.get(PARTS.plain).waiting : container.get(PARTS.placer).waiting
      },
      onUpdate: () => container.get(PARTS.placer).drain(),
    })
  })
  container.bind(PARTS.placer).toDynamicValue((context) => {
    return new Placer({
      tracker: context.get(PARTS.book),
      policyName: policy.name,
      policy: readPolicy(settings),
      forecast: context.get(PARTS.forecast),
      budget: context.get(PARTS.budget),
      clock: context.get(PARTS.clock),
      random: context.get(PARTS.random),
      logger: context.get(PARTS.logger),
      metrics: context.get(PARTS.meters),
      requestCredits: () => container.get(PARTS.credits).renewSoon(),
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
    .bind(PARTS.stories)
    .toDynamicValue((context) => new TraceStore(box.name, context.get(PARTS.clock)))
  container.bind(PARTS.journal).toDynamicValue((context) => {
    const follower = context.get(PARTS.follower)
    const [peers, clock] = [context.get(PARTS.peers), context.get(PARTS.clock)]
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
      owner: { ...context.get(PARTS.origin), address: advertisedAddress(settings) },
      deadline: JOURNAL_DEADLINE_MS,
    })
  })
  container.bind(PARTS.releases).toDynamicValue((context) => {
    const book = context.get(PARTS.book)
    return new ReleaseSender({
      engines: context.get(PARTS.engines),
      row: (endpoint) => book.row(endpoint),
      clock: context.get(PARTS.clock),
      logger: context.get(PARTS.logger),
    })
  })
  container.bind(PARTS.runs).toDynamicValue((context) => {
    const follower = context.get(PARTS.follower)
    const shared = {
      journal: context.get(PARTS.journal),
      clock: context.get(PARTS.clock),
    }
    const parts = {
      ...shared,
      engines: context.get(PARTS.engines),
      tracker: context.get(PARTS.book),
      forecast: context.get(PARTS.forecast),
      placer: context.get(PARTS.placer),
      releases: context.get(PARTS.releases),
      traces: context.get(PARTS.stories),
      metrics: context.get(PARTS.meters),
      logger: context.get(PARTS.logger),
      engineStepMs: request.engine_step_ms,
      stallMs: request.stall_ms,
      ttftTarget: policy.ttft_target_ms,
      tbtTarget: policy.tbt_target_ms,
      outcomeBytes: journal.outcome_bytes,
    }
    return new RunRegistry({
      ...shared,
      parts,
      origin: context.get(PARTS.origin),
      members: () => follower.members,
      peers: context.get(PARTS.peers),
      reconnectMs: request.reconnect_ms,
    })
  })
  container.bind(PARTS.plain).toDynamicValue((context) => {
    return new PlainCalls({
      journal: context.get(PARTS.journal),
      tracker: context.get(PARTS.book),
      traces: context.get(PARTS.stories),
      clock: context.get(PARTS.clock),
      logger: context.get(PARTS.logger),
      outcomeBytes: journal.outcome_bytes,
      random: context.get(PARTS.random),
      requestCredits: () => container.get(PARTS.credits).renewSoon(),
    })
  })
}
