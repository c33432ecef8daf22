import type { RegisteredEndpoint, Stage } from '@forkstage/directory'
import {
  Allocator,
  EnginePace,
  LengthForecast,
  type AllocatorOptions,
  type PlaceAsk,
  type PlaceDecision,
} from '../src'

/** An engine pool whose memory a few requests fill. */
export const ENGINE = {
  slots: 64,
  kvTokens: 10_000,
  kvBytesPerToken: 1,
  linkMbps: 1,
  tokensPerEvent: 10,
  handleMs: 500,
  stageChangeMs: 6_000,
  canMove: true,
}

/** A registered engine. */
export function engine(
  id: string,
  stage: Stage,
  fields: Partial<RegisteredEndpoint> = {},
): RegisteredEndpoint {
  const base = { service: 's', address: `${id}:1`, zone: 'z1', slots: 64, models: ['m'], sequence: 1 }
  return { id, stage, state: 'ready', ...base, ...fields }
}

/** A placement request that can be in time. */
export function ask(request: string, fields: Partial<PlaceAsk> = {}): PlaceAsk {
  return {
    request,
    entry: 'e1',
    service: 's',
    className: 'c',
    promptTokens: 3_000,
    mostTokens: 2_000,
    hintTokens: 1_000,
    priority: 1,
    targetMs: 900,
    isReturn: false,
    promptMs: 150,
    leftMs: 10_000,
    holdMs: 600,
    except: [],
    isPrefilled: false,
    ...fields,
  }
}

/** Creates an allocator over some engines, and collects its decisions. */
export function createAllocator(endpoints: RegisteredEndpoint[], options: Partial<AllocatorOptions> = {}) {
  const allocator = new Allocator({ endpoints: () => endpoints, engine: () => ENGINE, ...options })
  const decisions = new Map<string, PlaceDecision>()
  const place = (asked: PlaceAsk, now = 0) =>
    allocator.ask(asked, now, (decision) => decisions.set(asked.request, decision))
  return { allocator, decisions, place, decodeOf: (request: string) => decodeOf(decisions.get(request)) }
}

/**
 * Creates an allocator that has led since time 0, over engines of which some are cold and limited to a rate per
 * second.
 */
export function createColdAllocator(endpoints: RegisteredEndpoint[], coldIds: string[], perSecond: number) {
  const cold = new Set(coldIds)
  const policy = { leftMs: (id: string) => (cold.has(id) ? 60_000 : 0), perSecond: () => perSecond }
  const pace = new EnginePace(undefined, (id) => cold.has(id))
  const ejected: string[] = []
  const allocator = new Allocator({
    endpoints: () => endpoints,
    engine: () => ENGINE,
    cold: policy,
    learned: { pace, forecast: new LengthForecast() },
    onEjected: (id) => ejected.push(id),
  })
  allocator.tick(0)
  const decisions = new Map<string, PlaceDecision>()
  const place = (asked: PlaceAsk, now: number) =>
    allocator.ask(asked, now, (decision) => decisions.set(asked.request, decision))
  const decode = (request: string) => decodeOf(decisions.get(request))
  return { allocator, decisions, place, pace, cold, ejected, decodeOf: decode }
}

function decodeOf(decision: PlaceDecision | undefined): string | undefined {
  return decision?.type === 'placed' ? decision.decode : decision?.type
}
