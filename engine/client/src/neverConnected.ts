/** Codes of errors that precede a connection, so that no request can have reached the endpoint. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
])

/** Whether an error proves that no request was sent. */
export function neverConnected(error: unknown): boolean {
  return CONNECT_ERROR_CODES.has((error as { code?: string }).code ?? '')
}
