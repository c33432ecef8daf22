/** Options of {@link waitUntil}. */
export interface WaitUntilOptions {
  /** Names what is waited for, for the error. */
  what: string
  timeoutMs?: number
  everyMs?: number
}

const DEFAULT_TIMEOUT_MS = 30_000
const DEFAULT_EVERY_MS = 25

/** Waits until a condition holds. @throws when it does not in time; failing checks count as "not yet". */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  options: WaitUntilOptions,
): Promise<void> {
  const { what, timeoutMs = DEFAULT_TIMEOUT_MS, everyMs = DEFAULT_EVERY_MS } = options
  const end = Date.now() + timeoutMs
  let lastError: unknown
  while (Date.now() < end) {
    try {
      if (await condition()) return
      lastError = undefined
    } catch (error) {
      lastError = error
    }
    await new Promise((resolve) => setTimeout(resolve, everyMs))
  }
  const cause = lastError instanceof Error ? `: ${lastError.message}` : ''
  throw new Error(`waited ${timeoutMs} ms for ${what}${cause}`)
}
