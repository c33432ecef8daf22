import type { RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { PlaceAsk } from '../src'

/** An engine pool whose memory a few requests fill. */
export const ENGINE = {
  slots: 64,
  kvTokens: 10_000,
  kvBytesPerToken: 1,
  linkMbps: 1,
  tokensPerEvent: 10,
  handleMs: 500,
  stageChangeMs: 6_000,
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

/** A request for a place that can be in time. */
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
