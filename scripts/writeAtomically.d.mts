/** Replaces a file so that a process that starts meanwhile reads the whole of the old or of the new content. */
export function writeAtomically(path: string, content: string | Uint8Array): void
