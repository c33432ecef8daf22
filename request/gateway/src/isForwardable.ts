import { validateHeaderName, validateHeaderValue } from 'node:http'

/** Statuses of a final answer that may be sent on. */
const MIN_STATUS = 200
const MAX_STATUS = 999

/** Whether an answer's status and headers can be sent to a caller; a parser accepts more than a server may send. */
export function isForwardable(status: number | undefined, rawHeaders: string[]): boolean {
  if (status === undefined || status < MIN_STATUS || status > MAX_STATUS) return false
  for (let index = 0; index < rawHeaders.length; index += 2)
    if (!isValidHeader(rawHeaders[index]!, rawHeaders[index + 1]!)) return false
  return true
}

function isValidHeader(name: string, value: string): boolean {
  try {
    validateHeaderName(name)
    validateHeaderValue(name, value)
    return true
  } catch {
    // Node.js reports an invalid header by an exception only.
    return false
  }
}
