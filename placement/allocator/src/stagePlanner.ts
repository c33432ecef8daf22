import type { InstanceId, RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { EnginePool } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { BarredEngines } from './barredEngines'
import { DemandMeter } from './demandMeter'
import type { EngineChoice } from './engineChoice'
import type { EnginePace } from './enginePace'
import type { HoldRegistry } from './holdRegistry'
import type { InstanceHealth } from './instanceHealth'
import type { StageOrderTracker } from './stageOrderTracker'
import { planStages, type StageChange, type StageNeed, type StagedEngine } from './planStages'
import { SupplyMeter } from './supplyMeter'

/** Options of {@link StagePlanner}. */
export interface StagePlannerOptions {
  choice: EngineChoice
  barred: BarredEngines
  holds: HoldRegistry
  health: InstanceHealth
  pace: EnginePace
  orders: StageOrderTracker
  engine: (service: string) => EnginePool | undefined
}

/** Decides which engine should change its stage, by recent demand and the engines' supply. */
export class StagePlanner {
  private readonly demand = new Map<string, DemandMeter>()
  private readonly supply = new SupplyMeter()

  constructor(private readonly options: StagePlannerOptions) {}

  /** Records a request that has arrived for the first time. */
  recordDemand(service: string, promptTokens: number, heldTokens: number, now: Millis): void {
    const meter = this.demand.get(service) ?? new DemandMeter()
    this.demand.set(service, meter)
    meter.record(promptTokens, heldTokens, now)
  }

  /** Returns the demand on a service, in healthy engines per stage; undefined until enough has been observed. */
  needOf(service: string, now: Millis): StageNeed | undefined {
    const { pace } = this.options
    const engine = this.options.engine(service)
    const meter = this.demand.get(service)
    if (engine === undefined || meter?.hasEnoughData(now) !== true || !pace.isKnown) return undefined
    return meter.need(engine.kvTokens, pace, now)
  }

  /** Returns the stage change that a service should make now; undefined if none. */
  plan(service: string, now: Millis): StageChange | undefined {
    const { choice, barred, health } = this.options
    const engine = this.options.engine(service)
    const need = this.needOf(service, now)
    if (engine === undefined || need === undefined) return undefined
    const { stageChangeMs } = engine
    const staged = (['prefill', 'decode'] as const)
      .flatMap((stage) => choice.registered(service, stage))
      // An engine that is barred or ejected for a moment is back before another one has changed its stage.
      .filter((one) => !barred.isBarredFor(one, stageChangeMs, now))
      .filter((one) => !health.isLost(one.id, now, stageChangeMs))
      // A prefill engine that refuses every request is carrying out an order that is unknown here.
      .filter((one) => one.stage !== 'prefill' || !health.isBusy(one.id))
      .map((one) => this.toStaged(one, now))
    return planStages(staged, need)
  }

  /** Forgets engines that are not registered any more. */
  sweep(ids: ReadonlySet<InstanceId>): void {
    this.supply.sweep(ids)
  }

  private toStaged(endpoint: RegisteredEndpoint, now: Millis): StagedEngine {
    const { barred, holds, orders, pace } = this.options
    const targetStage: Stage | undefined = orders.targetStage(endpoint.id, now)
    const view = pace.view(endpoint.id, endpoint.stage!, now)
    return {
      id: endpoint.id,
      stage: targetStage ?? endpoint.stage!,
      freeInMs: holds.freeInMs(endpoint.id, now),
      // A barred engine gets no order either.
      isChanging: targetStage !== undefined || barred.has(endpoint),
      supply: this.supply.record(endpoint.id, view, now),
    }
  }
}
