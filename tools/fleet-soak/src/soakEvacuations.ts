import got from 'got'
import type { Random } from '@forkstage/clock'
import { waitUntil } from '@forkstage/deployment'
import { platformControl } from '@forkstage/platform-system'
import type { ObservedEvacuation } from './checkEvacuations'
import { DOMAINS, type SoakMachine } from './machineSettings'
import type { SoakFleet } from './soakFleet'
import { pause } from './pause'

/** A planned evacuation. */
export interface PlannedEvacuation {
  /** Milliseconds after the start. */
  at: number
  /** Milliseconds from its acknowledgement to its withdrawal; undefined for the last one, which lasts until the end. */
  forMs?: number
  domain: string
}

/** The evacuations that a control machine reports. */
interface EvacuationStatus {
  index: number
  domains: string[]
}

const REQUEST_TIMEOUT_MS = 1_500
/** Short enough that a caller often leaves before a machine has read its order. */
const MAX_ABANDONED_AFTER_MS = 20
const RETRY_DELAY_MS = 100
/** Longer than any fault lasts, so that a missing acknowledgement is a violation. */
const ACKNOWLEDGED_WITHIN_MS = 20_000
const RECOVERY_MS = 12_000
/** The last evacuation begins this long before the end: longer than the bound, so that later arrivals are checked. */
const LAST_BEFORE_END_MS = 6_000
const BETWEEN_MS = 500

/** Draws evacuations of one failure domain at a time, in turn; the last one lasts until the end. */
export function planEvacuations(durationMs: number, random: Random): PlannedEvacuation[] {
  const plan: PlannedEvacuation[] = []
  const lastAt = Math.max(0, durationMs - LAST_BEFORE_END_MS)
  let turn = Math.floor(random() * DOMAINS.length)
  const next = () => DOMAINS[turn++ % DOMAINS.length]!
  let at = 1_000 + random() * 1_500
  let forMs = 6_500 + random() * 2_000
  while (at + forMs + BETWEEN_MS <= lastAt) {
    plan.push({ at, forMs, domain: next() })
    at += forMs + 1_500 + random() * 2_000
    forMs = 6_500 + random() * 2_000
  }
  return [...plan, { at: lastAt, domain: next() }]
}

/** An operator that evacuates failure domains and withdraws the evacuations, with retries until an acknowledgement. */
export class SoakEvacuations {
  readonly observed: ObservedEvacuation[] = []
  readonly violations: string[] = []
  private lastEvacuationIndex = 0

  /**
   * @param abandoned the share of evacuations in which a withdrawal is sent and abandoned, and the evacuation is then sent
   * again; drawn from a generator of its own.
   */
  constructor(
    private readonly fleet: SoakFleet,
    private readonly random: Random,
    private readonly abandoned: { share: number; random: Random },
  ) {}

  /** Executes a plan in order; an evacuation begins only after the previous withdrawal was acknowledged. */
  async run(plan: PlannedEvacuation[]): Promise<void> {
    const start = Date.now()
    for (const { at, forMs, domain } of plan) {
      await pause(Math.max(0, start + at - Date.now()))
      if (!(await this.begin(domain))) return
      if (this.abandoned.random() < this.abandoned.share) {
        await this.abandonWithdrawal(domain)
        if (!(await this.begin(domain))) return
      }
      if (forMs === undefined) return
      await pause(forMs)
      this.observed.at(-1)!.withdrawnAt = Date.now()
      if ((await this.submit('DELETE', domain)) === undefined) return
    }
  }

  /** Checks that every control machine reports the last evacuation, unless it was withdrawn. */
  async checkLast(): Promise<void> {
    const last = this.observed.at(-1)
    if (last === undefined || last.withdrawnAt !== undefined) return
    await this.expectAll([last.domain], this.lastEvacuationIndex)
  }

  /** Withdraws the last evacuation and checks that every control machine reports none. */
  async withdrawLast(): Promise<void> {
    const last = this.observed.at(-1)
    if (last === undefined || last.withdrawnAt !== undefined) return
    last.withdrawnAt = Date.now()
    const index = await this.submit('DELETE', last.domain)
    if (index !== undefined) await this.expectAll([], index)
  }

  /** Evacuates a domain; returns whether that was acknowledged. */
  private async begin(domain: string): Promise<boolean> {
    const index = await this.submit('POST', domain)
    if (index === undefined) return false
    this.lastEvacuationIndex = index
    this.observed.push({ domain, acknowledgedAt: Date.now() })
    return true
  }

  /** Sends a withdrawal to each control machine and leaves before its answer. */
  private async abandonWithdrawal(domain: string): Promise<void> {
    this.observed.at(-1)!.withdrawnAt = Date.now()
    const path = platformControl.evacuationPath.replace(':domain', domain)
    const abandonAfterMs = 1 + this.abandoned.random() * MAX_ABANDONED_AFTER_MS
    await Promise.all(this.fleet.control.map((machine) => this.send(machine, 'DELETE', path, abandonAfterMs)))
  }

  private async expectAll(domains: string[], index: number): Promise<void> {
    for (const machine of this.fleet.control) {
      const what = `${machine.name} to show ${domains.join() || 'nothing'} as evacuated`
      const isShown = async () => {
        const shown = await this.read(machine)
        return shown !== undefined && shown.index >= index && shown.domains.join() === domains.join()
      }
      await waitUntil(isShown, { what, timeoutMs: RECOVERY_MS }).catch(() => this.violations.push(what))
    }
  }

  /** Sends an order to control machines in turn until one acknowledges it; returns its log index, undefined on failure. */
  private async submit(method: 'POST' | 'DELETE', domain: string): Promise<number | undefined> {
    const { control } = this.fleet
    const first = Math.floor(this.random() * control.length)
    const end = Date.now() + ACKNOWLEDGED_WITHIN_MS
    for (let tries = 0; Date.now() < end; tries += 1, await pause(RETRY_DELAY_MS)) {
      const path = platformControl.evacuationPath.replace(':domain', domain)
      const body = await this.send(control[(first + tries) % control.length]!, method, path)
      if (body !== undefined) return (JSON.parse(body) as { index: number }).index
    }
    this.violations.push(`${method} of the evacuation of ${domain} was not acknowledged`)
    return undefined
  }

  private async read(machine: SoakMachine): Promise<EvacuationStatus | undefined> {
    const body = await this.send(machine, 'GET', platformControl.evacuationsPath)
    return body === undefined ? undefined : (JSON.parse(body) as EvacuationStatus)
  }

  /** Returns the body of an answer with status 200; undefined for any other outcome. */
  private async send(
    machine: SoakMachine,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ) {
    const answer = await got(`${this.fleet.operators(machine)}${path}`, {
      method,
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: timeoutMs },
    }).catch(() => undefined)
    return answer?.statusCode === 200 ? answer.body : undefined
  }
}
