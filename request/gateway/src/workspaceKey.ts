import { MAX_KEY_CHARS, shortKeyDigest, type KeyIndex, type WorkspaceInfo } from '@forkstage/routes'
import { dropHeaders, type CallerRequest } from './callerRequest'
import type { GatewayWire } from './gatewayWire'

/** The workspace of a request's key, or why none is known. */
export type KeyVerdict =
  | { type: 'known'; workspace: WorkspaceInfo }
  /** `digest` is logged in place of the key, where there is one. */
  | { type: 'refused'; reason: string; digest?: string; isUnknown: boolean }

/** Finds the workspace of a request by its key; a request must have exactly one key. */
export function judgeKey(request: CallerRequest, keys: KeyIndex, wire: GatewayWire): KeyVerdict {
  const values = headerValues(request.rawHeaders, wire.headers.key)
  const [key] = values
  if (key === undefined) return refused('no key')
  if (values.length > 1) return refused('more than one key')
  if (key === '') return refused('an empty key')
  if (key.length > MAX_KEY_CHARS) return refused('a key that is too long')
  const workspace = keys.find(key)
  if (workspace !== undefined) return { type: 'known', workspace }
  return { ...refused('an unknown key'), digest: shortKeyDigest(key), isUnknown: true }
}

/**
 * Returns a request in the form that endpoints may see: without its key, and with the name of its workspace where one
 * is known.
 */
export function withWorkspace(
  request: CallerRequest,
  name: string | undefined,
  wire: GatewayWire,
): CallerRequest {
  const { key, workspace } = wire.headers
  const rawHeaders = dropHeaders(request.rawHeaders, [key])
  return { ...request, rawHeaders: name === undefined ? rawHeaders : [...rawHeaders, workspace, name] }
}

function refused(reason: string): Extract<KeyVerdict, { type: 'refused' }> {
  return { type: 'refused', reason, isUnknown: false }
}

function headerValues(rawHeaders: string[], name: string): string[] {
  return rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name)
}
