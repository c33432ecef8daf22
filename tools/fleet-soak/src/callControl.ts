import got from 'got'
import type { Random } from '@forkstage/clock'

/** A heartbeat (`PUT`) or a deregistration (`DELETE`) of an endpoint. */
export interface ControlCall {
  /** Base URLs of the control machines. */
  control: string[]
  id: string
  method: 'PUT' | 'DELETE'
  json: object
}

const TIMEOUT_MS = 1_000

/** Sends a call of an endpoint to the control machines in random order; returns whether one accepted it. */
export async function callControl(
  { control, id, method, json }: ControlCall,
  random: Random,
): Promise<boolean> {
  for (const url of [...control].sort(() => random() - 0.5)) {
    const answer = await got(`${url}/instances/${id}`, {
      method,
      json,
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: TIMEOUT_MS },
    }).catch(() => undefined)
    if (answer?.statusCode === 200) return true
  }
  return false
}
