import got, { RequestError } from 'got'
import type { Argv } from 'yargs'
import { ForkstageError, toErrorBody } from '@forkstage/error'
import { isDomainName, type EvacuationResult, type EvacuationSet } from '@forkstage/evacuation'
import { platformControl } from '@forkstage/platform-system'

/** Options of commands that call the control machines of a self-registering deployment. */
export interface ControlArguments {
  /** Operator addresses of control machines. */
  control: string[]
  json: boolean
}

/** The evacuations known to one control machine. */
export interface EvacuationReport {
  address: string
  known?: EvacuationSet
  /** Why they are missing. */
  reason?: string
}

/** A control machine reports an unknown result within 0.9 s; the rest allows for the network. */
const CALL_TIMEOUT_MS = 1_500
const TOTAL_TIMEOUT_MS = 10_000
const RETRY_DELAY_MS = 200

/** Adds the options of a command that calls control machines. */
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
 * Begins or withdraws the evacuation of a failure domain: calls one control machine after another until one confirms
 * the result.
 * @throws ForkstageError if none confirms in time, or if the name of the domain is invalid.
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

/** Returns the evacuations known to each control machine. */
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
  const hint = 'Give operator addresses of control machines with --control or in FORKSTAGE_CONTROL.'
  return new ForkstageError('FORKSTAGE_NO_ADDRESS', 'No control machine was given.', hint, {
    step: 'evacuate',
  })
}

function invalidDomainName(domain: string, peer?: string): ForkstageError {
  const hint =
    'Use at most 63 letters, digits, dots, underscores and hyphens, starting with a letter or digit.'
  return new ForkstageError(
    'FORKSTAGE_DOMAIN_NAME',
    `"${domain}" is not a valid name of a failure domain.`,
    hint,
    {
      step: 'evacuate',
      peer,
    },
  )
}

function unconfirmed(reason: unknown): ForkstageError {
  const message = `No control machine confirmed the result in time: ${toErrorBody(reason).message}`
  const hint = 'The order may have been accepted. Send it again: repeating it is harmless.'
  return new ForkstageError('FORKSTAGE_NOT_SURE', message, hint, { step: 'evacuate' })
}
