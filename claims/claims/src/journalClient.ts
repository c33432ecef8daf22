import { createHash } from 'node:crypto'
import type { GroupClient } from '@forkstage/group'
import type { EndpointName, Millis, RequestId } from '@forkstage/types'
import type { Claim, ClaimOwner, JournalCommand, JournalResult, Outcome } from './claimTypes'

/** Options of {@link JournalClient}. */
export interface JournalClientOptions {
  groups: GroupClient<JournalCommand, JournalResult>[]
  owner: ClaimOwner
  deadline: Millis
}

/** The index of the group that keeps a key, out of `groups` groups. */
export function groupOfKey(key: string, groups: number): number {
  return createHash('sha1').update(key).digest().readUInt32BE(0) % groups
}

/** Claims and settles request keys on behalf of this box. */
export class JournalClient {
  constructor(private readonly options: JournalClientOptions) {}

  claim(key: string, bodyDigest: string, request: RequestId, repeatable: boolean): Promise<JournalResult> {
    return this.propose(
      key,
      { type: 'claim', key, bodyDigest, request, owner: this.options.owner, repeatable },
      'claim',
    )
  }

  takeOver(key: string, epoch: number): Promise<JournalResult> {
    return this.propose(key, { type: 'takeover', key, epoch, owner: this.options.owner }, 'take over')
  }

  recordDecoding(
    key: string,
    epoch: number,
    endpoint: EndpointName,
    attempt: number,
  ): Promise<JournalResult> {
    return this.propose(key, { type: 'decoding', key, epoch, endpoint, attempt }, 'record decoding')
  }

  settle(key: string, epoch: number, outcome: Outcome): Promise<JournalResult> {
    return this.propose(key, { type: 'settle', key, epoch, outcome }, 'settle')
  }

  forget(key: string, epoch: number): Promise<JournalResult> {
    return this.propose(key, { type: 'forget', key, epoch }, 'forget claim')
  }

  /** Returns the claim of a key without changing it; undefined if there is none. */
  async find(key: string): Promise<Claim | undefined> {
    const { groups, deadline } = this.options
    const group = groups[groupOfKey(key, groups.length)]!
    const claim = await group.callLeader<Claim | null>('find', { key }, { deadline, step: 'find claim' })
    return claim ?? undefined
  }

  /** Asks every group for the claim of a request id, for `explain`; undefined if no group that answers has one. */
  async findRequest(request: RequestId): Promise<Claim | undefined> {
    const { groups, deadline } = this.options
    const asked = groups.map((group) =>
      group.callLeader<Claim | null>('find', { request }, { deadline, step: 'explain' }),
    )
    const found = await Promise.all(asked.map((each) => each.catch(() => null)))
    return found.find((claim) => claim !== null) ?? undefined
  }

  private propose(key: string, command: JournalCommand, step: string): Promise<JournalResult> {
    const { groups, deadline } = this.options
    return groups[groupOfKey(key, groups.length)]!.propose(command, { deadline, step })
  }
}
