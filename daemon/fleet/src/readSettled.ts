import { delay, type Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'

/** The text of a file, and when it was read. */
export interface TimedText {
  text: string
  readAt: Millis
}

/** Options of {@link readSettled}. */
export interface ReadSettledOptions {
  read: () => Promise<string>
  /** Two reads at least this far apart must agree; a file is written within a few milliseconds. */
  apartMs: Millis
  clock: Clock
  /** The text in use, which needs no second read. */
  known?: string
  /** An earlier read of the same file. */
  earlier?: TimedText
}

const MIN_WAIT_MS: Millis = 1

/** Reads a file that may be written at the same time: resolves to a text that two reads agree on. */
export async function readSettled(options: ReadSettledOptions): Promise<string> {
  const { read, apartMs, clock, known } = options
  let last = options.earlier
  for (;;) {
    const startedAt = clock.now()
    const text = await read()
    if (text === known) return text
    if (text !== last?.text) last = { text, readAt: clock.now() }
    else if (startedAt - last.readAt >= apartMs) return text
    await delay(clock, Math.max(MIN_WAIT_MS, last.readAt + apartMs - clock.now()))
  }
}
