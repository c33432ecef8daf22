import { timingSafeEqual } from 'node:crypto'
import { digestKey } from './keyDigest'
import type { Workspace } from './routeTypes'

/** A workspace without its keys. */
export type WorkspaceInfo = Omit<Workspace, 'keys'>

interface KeyEntry {
  digest: Buffer
  workspace: WorkspaceInfo
}

/** Leading hexadecimal digits by which digests are grouped; within a group they are compared in constant time. */
const GROUP_PREFIX_DIGITS = 8

/** Finds the workspace of a key. Holds the keys of one sheet as digests only. */
export class KeyIndex {
  private readonly groups = new Map<string, KeyEntry[]>()

  constructor(workspaces: Workspace[]) {
    for (const { keys, ...workspace } of workspaces) for (const key of keys) this.add(key, workspace)
  }

  /** Returns the workspace that a key belongs to; undefined if no workspace has the key. */
  find(key: string): WorkspaceInfo | undefined {
    const digest = digestKey(key)
    const group = this.groups.get(groupOf(digest)) ?? []
    return group.find((entry) => timingSafeEqual(entry.digest, digest))?.workspace
  }

  private add(key: string, workspace: WorkspaceInfo): void {
    const digest = digestKey(key)
    const group = this.groups.get(groupOf(digest)) ?? []
    group.push({ digest, workspace })
    this.groups.set(groupOf(digest), group)
  }
}

function groupOf(digest: Buffer): string {
  return digest.toString('hex').slice(0, GROUP_PREFIX_DIGITS)
}
