import { delay } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import type { Millis } from '@forkstage/types'
import { createWaitReporter } from './createWaitReporter'
import { readSettled, type ReadSettledOptions } from './readSettled'

/** Options of {@link readStartSettings}. */
export interface ReadStartSettingsOptions<Settings> extends Omit<ReadSettledOptions, 'apartMs'> {
  /** @throws if the text has faults. */
  parse: (text: string) => Settings
  /** Called with the reason for which the start waits, whenever it changes and at growing intervals. */
  onWaiting: (reason: string) => void
  /** How long settings with faults are read again; default: without end. */
  waitMs?: Millis
}

/** Less than the time from the loader's read to the first one here, so that a start does not wait for its settings. */
const READS_APART_MS: Millis = 25
const RETRY_EVERY_MS: Millis = 100

/**
 * Reads the settings of a start, again while they cannot be read or have faults: a file that is still being written cannot
 * be told from a wrong one. @throws the last fault after the wait.
 */
export async function readStartSettings<Settings>(
  options: ReadStartSettingsOptions<Settings>,
): Promise<{ text: string; settings: Settings }> {
  const { clock, parse, onWaiting, waitMs = Infinity } = options
  const endsAt = clock.now() + waitMs
  const reportWait = createWaitReporter(clock, onWaiting)
  for (let { earlier } = options; ; earlier = undefined) {
    try {
      const text = await readSettled({ ...options, apartMs: READS_APART_MS, earlier })
      return { text, settings: parse(text) }
    } catch (error) {
      if (clock.now() >= endsAt) throw error
      reportWait(toErrorBody(error).message)
    }
    await delay(clock, RETRY_EVERY_MS)
  }
}
