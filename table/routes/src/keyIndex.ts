import { timingSafeEqual } from 'node:crypto'
import { digestKey } from './keyDigest'
import type { Workspace } from './routeTypes'

/** A workspace without its keys, as it is known where requests are served. */
export type WorkspaceInfo = Omit<Workspace, 'keys'>

interface KeyEntry {
  digest: Buffer
  workspace: WorkspaceInfo
}

/** Digits of a digest by which keys are grouped; within a group they are compared in constant time. */
const GROUP_PREFIX_DIGITS = 8

/** The keys of one sheet, kept as digests only, and the workspaces that they belong to. */
export class KeyIndex {
  private readonly groups = new Map<string, KeyEntry[]>()

  constructor(workspaces: Workspace[]) {
    for (const { keys, ...workspace } of workspaces) for (const key of keys) this.add(key, workspace)
  }

  /** The workspace that a key belongs to, or undefined where no workspace has it. */
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
