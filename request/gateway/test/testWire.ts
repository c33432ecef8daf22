import type { GatewayWire } from '../src'

/** Header names of no real deployment, so that no test depends on one. */
export const TEST_WIRE: GatewayWire = {
  headers: {
    requestId: 'x-id',
    deadlineMs: 'x-deadline',
    lastEventId: 'last-event-id',
    resumes: 'x-resumes',
    tokenCounts: 'x-tokens',
    lengthHint: 'x-hint',
    promptParts: 'x-parts',
    notExecuted: 'x-not-run',
    stamp: 'x-stamp',
    instance: 'x-instance',
    rateLimit: 'x-takes',
    leaving: 'x-leaves',
    expectInstance: 'x-expect',
    stage: 'x-stage',
    kvSource: 'x-kv-from',
    key: 'x-key',
    workspace: 'x-workspace',
  },
  reserved: ['x-expect', 'x-stage', 'x-kv-from', 'x-workspace'],
  prefillStage: 'read',
  readinessPath: '/ready',
  readTokenCounts: (value) =>
    /^\d+,\d+$/.test(value)
      ? { prompt: Number(value.split(',')[0]), most: Number(value.split(',')[1]) }
      : undefined,
  readRateLimit: (value) => (/^\d+(\.\d+)?$/.test(value) ? Number(value) : undefined),
  readLeaving: (value) => value === 'yes',
  readPromptParts: (value) => {
    const parts = value.split(',').map((part) => part.split(':'))
    return parts.every((part) => part.length === 2)
      ? parts.map(([id, tokens]) => ({ id: id!, tokens: Number(tokens) }))
      : undefined
  },
  readPrefillAnswer: (body) => (body.length > 0 ? { handle: body.toString(), tokens: 1 } : undefined),
  kvSource: (address, handle) => `${address}#${handle}`,
  releaseCall: (handle) => ({ method: 'DELETE', path: `/free/${handle}` }),
  moveCall: (request, to, isLast) => ({
    method: 'POST',
    path: isLast ? '/move-last' : '/move',
    body: Buffer.from(`${request}>${to}`),
  }),
  readMoveAnswer: (body) => (body.length > 0 ? { handle: body.toString() } : undefined),
}
