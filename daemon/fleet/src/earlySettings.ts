import type { TimedText } from './readSettled'

/** The global that the bundle's loader sets, if the program was started by one and the file could be read. */
interface StartedByLoader {
  forkstageEarlySettings?: TimedText & { path: string }
}

/** Returns the text that the loader read from the settings file at the beginning of the process, if it did. */
export function earlySettings(path: string): TimedText | undefined {
  const { forkstageEarlySettings: early } = globalThis as StartedByLoader
  return early?.path === path ? early : undefined
}
