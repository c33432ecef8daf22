/** Options of {@link waitUntil}. */
export interface WaitUntilOptions {
  /** Names the condition in the error message. */
  what: string
  timeoutMs?: number
  everyMs?: number
}

const DEFAULT_TIMEOUT_MS = 30_000
const DEFAULT_EVERY_MS = 25

/**
 * Waits until a condition holds; a check that throws counts as false.
 * @throws when the condition does not hold in time, with the message of the last check if that check threw.
 */
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
