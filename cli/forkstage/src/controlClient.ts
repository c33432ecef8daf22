import got, { RequestError } from 'got'
import type { Argv } from 'yargs'
import { ForkstageError, toErrorBody } from '@forkstage/error'
import { isDomainName, type EvacuationResult, type EvacuationSet } from '@forkstage/evacuation'
import { platformControl } from '@forkstage/platform-system'

/** Options of commands that speak to control machines of machines that find each other. */
export interface ControlArguments {
  /** Operators' addresses of control machines. */
  control: string[]
  json: boolean
}

/** What one control machine says of evacuations. */
export interface EvacuationReport {
  address: string
  known?: EvacuationSet
  /** Why it did not say. */
  reason?: string
}

/** A control machine says within 0.9 s that it is not sure; the rest is the way. */
const CALL_TIMEOUT_MS = 1_500
const TOTAL_TIMEOUT_MS = 10_000
const RETRY_DELAY_MS = 200

/** Adds the option with which a command finds control machines. */
export function withControl(argv: Argv): Argv {
  const known = process.env.FORKSTAGE_CONTROL
  return argv
    .option('control', {
      type: 'string',
      array: true,
      default: known === undefined ? [] : known.split(','),
      describe: "control machines' operator addresses (or FORKSTAGE_CONTROL, with commas)",
    })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
}

/**
 * Begins or withdraws the evacuation of a failure domain: asks one control machine after the other until one is sure.
 * @throws ForkstageError where none was, or where the name cannot be one.
 */
export async function orderEvacuation(
  control: string[],
  domain: string,
  isEvacuated: boolean,
): Promise<EvacuationResult> {
  if (control.length === 0) throw noAddress()
  if (!isDomainName(domain)) throw invalidDomainName(domain)
  const path = platformControl.evacuationPath.replace(':domain', encodeURIComponent(domain))
  const end = Date.now() + TOTAL_TIMEOUT_MS
  let reason: unknown
  for (let attempt = 0; Date.now() < end; attempt += 1) {
    const address = control[attempt % control.length]!
    try {
      return await got(`http://${address}${path}`, {
        method: isEvacuated ? 'POST' : 'DELETE',
        timeout: { request: CALL_TIMEOUT_MS },
        retry: { limit: 0 },
      }).json<EvacuationResult>()
    } catch (error) {
      if (isBadRequest(error)) throw invalidDomainName(domain, address)
      reason = error
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS))
    }
  }
  throw unconfirmed(reason)
}

/** What each control machine knows of evacuations. */
export function fetchEvacuations(control: string[]): Promise<EvacuationReport[]> {
  return Promise.all(
    control.map(async (address) => {
      try {
        const url = `http://${address}${platformControl.evacuationsPath}`
        const options = { timeout: { request: CALL_TIMEOUT_MS }, retry: { limit: 0 } }
        return { address, known: await got(url, options).json<EvacuationSet>() }
      } catch (error) {
        return { address, reason: toErrorBody(error).message }
      }
    }),
  )
}

function isBadRequest(error: unknown): boolean {
  return error instanceof RequestError && error.response?.statusCode === 400
}

function noAddress(): ForkstageError {
  const hint = "Name control machines' operator addresses with --control, or in FORKSTAGE_CONTROL."
  return new ForkstageError('FORKSTAGE_NO_ADDRESS', 'No control machine is named.', hint, {
    step: 'evacuate',
  })
}

function invalidDomainName(domain: string, peer?: string): ForkstageError {
  const hint = 'Letters, digits, dots, underlines and hyphens, the first a letter or digit, at most 63.'
  return new ForkstageError('FORKSTAGE_DOMAIN_NAME', `"${domain}" cannot be a failure domain's name.`, hint, {
    step: 'evacuate',
    peer,
  })
}

function unconfirmed(reason: unknown): ForkstageError {
  const message = `No control machine was sure in time: ${toErrorBody(reason).message}`
  const hint = 'It may have been taken. Send it again: what holds already stays as it is.'
  return new ForkstageError('FORKSTAGE_NOT_SURE', message, hint, { step: 'evacuate' })
}
