import { constants } from 'node:fs'
import { mkdir, open, readdir, readFile, rename, truncate, unlink } from 'node:fs/promises'

/** An open append-only file. */
export interface AppendFile {
  append(bytes: Uint8Array): Promise<void>
  /** Resolves once everything appended so far is on the disk. */
  sync(): Promise<void>
  close(): Promise<void>
}

/** The file operations that storage needs; tests replace them with failing ones. */
export interface FileSystem {
  makeFolder(path: string): Promise<void>
  list(folder: string): Promise<string[]>
  read(path: string): Promise<Buffer>
  openAppend(path: string): Promise<AppendFile>
  /** Replaces a file atomically: after a crash it has either the old or the new content. */
  replace(path: string, bytes: Uint8Array): Promise<void>
  truncate(path: string, length: number): Promise<void>
  remove(path: string): Promise<void>
}

/** Returns the operating system's file system, with syncs of files and folders. */
export function createFileSystem(): FileSystem {
  return {
    makeFolder: async (path) => void (await mkdir(path, { recursive: true })),
    list: (folder) => readdir(folder),
    read: (path) => readFile(path),
    openAppend,
    replace,
    truncate: truncateSynced,
    remove: (path) => unlink(path),
  }
}

async function openAppend(path: string): Promise<AppendFile> {
  const handle = await open(path, 'a')
  await syncFolder(folderOf(path))
  return {
    append: async (bytes) => void (await handle.appendFile(bytes)),
    sync: () => handle.datasync(),
    close: () => handle.close(),
  }
}

async function replace(path: string, bytes: Uint8Array): Promise<void> {
  const temporary = `${path}.new`
  const handle = await open(temporary, 'w')
  try {
    await handle.writeFile(bytes)
    await handle.sync()
  } finally {
    await handle.close()
  }
  await rename(temporary, path)
  await syncFolder(folderOf(path))
}

async function truncateSynced(path: string, length: number): Promise<void> {
  await truncate(path, length)
  const handle = await open(path, 'r+')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, constants.O_RDONLY | constants.O_DIRECTORY)
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

function folderOf(path: string): string {
  return path.slice(0, path.lastIndexOf('/')) || '/'
}
