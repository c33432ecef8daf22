import { ManualClock } from '@forkstage/clock'
import type { RegisteredEndpoint } from '@forkstage/directory'
import { EvacuationView } from '@forkstage/evacuation'
import { createSilentLogger } from '@forkstage/logger'
import type { PeerCaller } from '@forkstage/peer-rpc'
import {
  ControlFollower,
  packSheet,
  SHEET_METHOD,
  WATCH_METHOD,
  type WatchAnswer,
  type WatchedSheet,
  type WatchRequest,
} from '../src'

export const CONTROL = '10.0.0.1:1'
export const OTHER = '10.0.0.2:1'

export function endpoint(id: string, sequence = 1): RegisteredEndpoint {
  return {
    id,
    service: 's',
    address: '10.0.0.1:1',
    zone: 'z',
    slots: 1,
    state: 'ready',
    models: [],
    sequence,
  }
}

/** Waits until the pending work of the event loop is done. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => setImmediate(resolve))
}

/** A follower whose control machines are answered by the test. */
export function createFollowerHarness() {
  const clock = new ManualClock()
  type SentRequest = {
    address: string
    method: string
    request: WatchRequest
    answer: (answer: Partial<WatchAnswer>) => void
    sheet: (sheet: WatchedSheet) => void
    fail: () => void
  }
  const sent: SentRequest[] = []
  const base = {
    epoch: 'l',
    position: 0,
    endpoints: [],
    members: [CONTROL],
    sheetVersion: -1,
    entries: 1,
    neighbours: [],
  }
  const peers: PeerCaller = {
    call: (address, method, params) =>
      new Promise((resolve, reject) =>
        sent.push({
          address,
          method,
          request: params as WatchRequest,
          answer: (fields) => resolve({ ...base, ...fields } as never),
          sheet: (sheet) => resolve(packSheet(sheet) as never),
          fail: () => reject(new Error('unreachable')),
        }),
      ),
    notify: () => undefined,
  }
  const sheets: number[] = []
  const received: string[] = []
  const view = new EvacuationView()
  const follower = new ControlFollower({
    seeds: () => [CONTROL],
    peers,
    clock,
    logger: createSilentLogger(),
    holdMs: 1_000,
    sheetVersion: () => sheets.at(-1) ?? -1,
    onSheet: ({ version }) => sheets.push(version),
    evacuations: () => view.current,
    onEvacuations: (set) => {
      if (view.merge(set)) received.push(`evacuated: ${set.domains.join()}`)
    },
    onSupposedEvacuations: (domains) => {
      if (view.addSupposed(domains)) received.push(`supposed: ${domains.join()}`)
    },
    onEndpoints: (endpoints) => received.push(...endpoints.map(({ id }) => id)),
  })
  follower.start()
  const last = (address = CONTROL, method: string = WATCH_METHOD) =>
    sent.filter((one) => one.address === address && one.method === method).at(-1)!
  const fetches = () => sent.filter((one) => one.method === SHEET_METHOD).map((one) => one.address)
  return { clock, sent, follower, sheets, received, last, fetches }
}
