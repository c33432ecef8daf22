import got from 'got'
import type { Random } from '@forkstage/clock'
import { waitUntil } from '@forkstage/deployment'
import { platformControl } from '@forkstage/platform-system'
import type { SeenEvacuation } from './checkEvacuations'
import { DOMAINS, type SoakMachine } from './machineSettings'
import type { SoakFleet } from './soakFleet'
import { pause } from './pause'

/** An evacuation to come. */
export interface PlannedEvacuation {
  /** Milliseconds after the start. */
  at: number
  /** From its acknowledgement to its withdrawal; absent for the one that is kept until the end. */
  forMs?: number
  domain: string
}

/** What a control machine shows. */
interface Shown {
  index: number
  domains: string[]
}

const ASK_MS = 1_500
const AGAIN_MS = 100
/** No fault lasts so long: without an acknowledgement by then something is wrong. */
const ACKNOWLEDGED_WITHIN_MS = 20_000
const RECOVERY_MS = 12_000
/** The last one begins so long before the end: longer than the bound, so that requests after it tell. */
const KEPT_MS = 6_000
const BETWEEN_MS = 500

/** Evacuations drawn from a seed: one domain at a time, by turns; the last one is kept until the end. */
export function planEvacuations(durationMs: number, random: Random): PlannedEvacuation[] {
  const plan: PlannedEvacuation[] = []
  const keptAt = Math.max(0, durationMs - KEPT_MS)
  let turn = Math.floor(random() * DOMAINS.length)
  const next = () => DOMAINS[turn++ % DOMAINS.length]!
  let at = 1_000 + random() * 1_500
  let forMs = 6_500 + random() * 2_000
  while (at + forMs + BETWEEN_MS <= keptAt) {
    plan.push({ at, forMs, domain: next() })
    at += forMs + 1_500 + random() * 2_000
    forMs = 6_500 + random() * 2_000
  }
  return [...plan, { at: keptAt, domain: next() }]
}

/** An operator that evacuates failure domains and withdraws that, each sent until it is acknowledged. */
export class SoakEvacuations {
  readonly seen: SeenEvacuation[] = []
  readonly broken: string[] = []
  private keptIndex = 0

  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
  ) {}

  /** Carries out a plan, one after the other; the next begins only after a withdrawal was acknowledged. */
  async run(plan: PlannedEvacuation[]): Promise<void> {
    const start = Date.now()
    for (const { at, forMs, domain } of plan) {
      await pause(Math.max(0, start + at - Date.now()))
      const index = await this.tell('POST', domain)
      if (index === undefined) return
      this.keptIndex = index
      const evacuation: SeenEvacuation = { domain, acknowledgedAt: Date.now() }
      this.seen.push(evacuation)
      if (forMs === undefined) return
      await pause(forMs)
      evacuation.withdrawnAt = Date.now()
      if ((await this.tell('DELETE', domain)) === undefined) return
    }
  }

  /** Whether every control machine shows the one that was kept, and no longer once it is withdrawn. */
  async checkKept(): Promise<void> {
    const kept = this.seen.at(-1)
    if (kept === undefined || kept.withdrawnAt !== undefined) return
    await this.expectAll([kept.domain], this.keptIndex)
  }

  /** Withdraws the one that was kept; every control machine must show that nothing is evacuated. */
  async withdrawKept(): Promise<void> {
    const kept = this.seen.at(-1)
    if (kept === undefined || kept.withdrawnAt !== undefined) return
    kept.withdrawnAt = Date.now()
    const index = await this.tell('DELETE', kept.domain)
    if (index !== undefined) await this.expectAll([], index)
  }

  private async expectAll(domains: string[], index: number): Promise<void> {
    for (const machine of this.fleet.control) {
      const what = `${machine.name} to show ${domains.join() || 'nothing'} as evacuated`
      const isShown = async () => {
        const shown = await this.read(machine)
        return shown !== undefined && shown.index >= index && shown.domains.join() === domains.join()
      }
      await waitUntil(isShown, { what, timeoutMs: RECOVERY_MS }).catch(() => this.broken.push(what))
    }
  }

  /** Sends an order, each time to another control machine, until it is acknowledged; its place in the log. */
  private async tell(method: 'POST' | 'DELETE', domain: string): Promise<number | undefined> {
    const { control } = this.fleet
    const first = Math.floor(this.random() * control.length)
    const end = Date.now() + ACKNOWLEDGED_WITHIN_MS
    for (let tries = 0; Date.now() < end; tries += 1, await pause(AGAIN_MS)) {
      const path = platformControl.evacuationPath.replace(':domain', domain)
      const body = await this.ask(control[(first + tries) % control.length]!, method, path)
      if (body !== undefined) return (JSON.parse(body) as { index: number }).index
    }
    this.broken.push(`${method} of the evacuation of ${domain} was not acknowledged`)
    return undefined
  }

  private async read(machine: SoakMachine): Promise<Shown | undefined> {
    const body = await this.ask(machine, 'GET', platformControl.evacuationsPath)
    return body === undefined ? undefined : (JSON.parse(body) as Shown)
  }

  /** The body of a 200; undefined after any other answer or none. */
  private async ask(machine: SoakMachine, method: 'GET' | 'POST' | 'DELETE', path: string) {
    const answer = await got(`${this.fleet.operators(machine)}${path}`, {
      method,
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: ASK_MS },
    }).catch(() => undefined)
    return answer?.statusCode === 200 ? answer.body : undefined
  }
}
