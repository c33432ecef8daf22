import type { Clock } from '@forkstage/clock'
import type { Logger } from '@forkstage/logger'
import type { QuotaLimiter, QuotaCharge } from '@forkstage/quota'
import type { WorkspaceInfo, Route, RouteIndex } from '@forkstage/routes'
import type { Millis } from '@forkstage/types'
import type { CallerRequest } from './callerRequest'
import type { GatewayWire, TokenCounts } from './gatewayWire'
import { sendOwnAnswer, type OwnAnswer } from './ownAnswer'
import type { RelayResult } from './relayParts'
import { judgeKey, withWorkspace, type KeyVerdict } from './workspaceKey'

/** Options of {@link WorkspaceAdmission}. */
export interface WorkspaceAdmissionOptions {
  wire: GatewayWire
  quotas: QuotaLimiter
  /** Whether the sheet in force here is the newest, as far as this entry can know. */
  isCurrent: () => boolean
  clock: Clock
  logger: Logger
}

/** An admitted request, in the form that endpoints may see. */
export interface AdmittedRequest {
  type: 'passed'
  request: CallerRequest
  workspace?: WorkspaceInfo
  /** The workspace of the request's key, also on a public route, since its regions apply there too. */
  owner?: WorkspaceInfo
  /** What the request took from its workspace's quota. */
  spent?: QuotaCharge
}

/** A request that was refused with an answer of this entry. */
export interface RejectedRequest {
  type: 'answered'
  result: RelayResult
}

/** Backoff for a key that is unknown here: it may belong to a newer sheet that has not arrived yet. */
const NEWER_SHEET_RETRY_MS = 500

/** Admits requests by the keys and quotas of their workspaces. */
export class WorkspaceAdmission {
  constructor(private readonly options: WorkspaceAdmissionOptions) {}

  /** Whether a request has an unknown key that a newer sheet than the one in force here may contain. */
  mayHaveNewerKey(request: CallerRequest, route: Route, { keys }: RouteIndex): boolean {
    if (keys === undefined || route.isPublic === true || this.options.isCurrent()) return false
    const verdict = judgeKey(request, keys, this.options.wire)
    return verdict.type === 'refused' && verdict.isUnknown
  }

  /**
   * Admits a request, or refuses it with an answer.
   * @param tokens token counts that the request declares, for quotas that count tokens.
   */
  async admit(
    request: CallerRequest,
    route: Route,
    index: RouteIndex,
    tokens: TokenCounts | undefined,
  ): Promise<AdmittedRequest | RejectedRequest> {
    const { wire } = this.options
    if (index.keys === undefined) return { type: 'passed', request }
    const verdict = judgeKey(request, index.keys, wire)
    if (route.isPublic === true) {
      const owner = verdict.type === 'known' ? verdict.workspace : undefined
      return { type: 'passed', request: withWorkspace(request, owner?.name, wire), owner }
    }
    if (verdict.type === 'refused') return this.refuseKey(request, route, index, verdict)
    return this.admitByQuota(request, verdict.workspace, index, tokens)
  }

  private async admitByQuota(
    request: CallerRequest,
    workspace: WorkspaceInfo,
    index: RouteIndex,
    tokens: TokenCounts | undefined,
  ): Promise<AdmittedRequest | RejectedRequest> {
    const { wire, quotas, clock, logger } = this.options
    const admitted: AdmittedRequest = {
      type: 'passed',
      request: withWorkspace(request, workspace.name, wire),
      workspace,
      owner: workspace,
    }
    if (workspace.quota === undefined) return admitted
    const units = unitsOf(workspace.quota, tokens)
    const verdict = await quotas.admit(workspace, units)
    if (verdict.type === 'admitted') return { ...admitted, spent: verdict.spent }
    const { level, ageMs, isAlone, retryAfterMs } = verdict
    logger.info('quota.refused', {
      request: request.id,
      workspace: workspace.name,
      units,
      level: Math.round(level),
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
      isAlone,
      retryAfterMs,
      sheetVersion: index.sheet.version,
      waitedMs: Math.round(clock.now() - request.arrivedAt),
    })
    return reject(request, 'over quota', {
      status: 429,
      code: 'FORKSTAGE_OVER_QUOTA',
      message: `Workspace ${workspace.name} has used up its quota for the moment.`,
      retryAfterMs: withinDeadline(request, retryAfterMs),
    })
  }

  private refuseKey(
    request: CallerRequest,
    route: Route,
    { sheet }: RouteIndex,
    { reason, digest, isUnknown }: Extract<KeyVerdict, { type: 'refused' }>,
  ): RejectedRequest {
    const { logger, isCurrent } = this.options
    const isCertain = !isUnknown || isCurrent()
    logger.info('key.refused', {
      request: request.id,
      route: route.name,
      reason,
      key: digest,
      sheetVersion: sheet.version,
      outcome: isCertain ? 'refused' : 'retry: the sheet here may be outdated',
    })
    if (!isCertain)
      return reject(request, 'key of a newer sheet', {
        status: 503,
        code: 'FORKSTAGE_SHEET_MAY_BE_OLD',
        message: 'This entry does not know the key, and may lack the newest sheet.',
        retryAfterMs: NEWER_SHEET_RETRY_MS,
      })
    return reject(request, 'no known key', {
      status: 401,
      code: 'FORKSTAGE_NO_KNOWN_KEY',
      message: `The request has ${reason}; it needs the key of a workspace.`,
    })
  }
}

/** Returns what a request costs in the unit of a quota; without declared tokens it costs as much as a plain one. */
function unitsOf(quota: NonNullable<WorkspaceInfo['quota']>, tokens: TokenCounts | undefined): number {
  if (quota.unit === 'requests') return 1
  return tokens === undefined ? quota.plainTokens : tokens.prompt + tokens.most
}

/** Caps a backoff at the caller's deadline: a caller that is told to retry after its own deadline does not retry at all. */
function withinDeadline(request: CallerRequest, retryAfterMs: Millis): Millis {
  return Number.isFinite(request.deadlineMs) ? Math.min(retryAfterMs, request.deadlineMs) : retryAfterMs
}

function reject({ response }: CallerRequest, outcome: string, answer: OwnAnswer): RejectedRequest {
  sendOwnAnswer(response, answer)
  return { type: 'answered', result: { status: answer.status, outcome, sends: [], hasNotRun: true } }
}
