/** Parses a line that should be a JSON-RPC message or a batch of them. Returns undefined for any other text. */
export function parseMessage(line: string): object | undefined {
  try {
    const message: unknown = JSON.parse(line)
    return typeof message === 'object' && message !== null ? message : undefined
  } catch {
    return undefined
  }
}
