import { once } from 'node:events'
import type { Response } from 'express'
import type { RequestEnd } from '@forkstage/machine'
import { AnswerError, type AnswerSource } from '@forkstage/runner'
import { errorBody, sendError } from './callerErrors'

/** Fields of a chat completion apart from its text. */
export interface AnswerMetadata {
  model: string
  promptTokens: number
  /** Seconds since 1970. */
  created: number
}

/** Writes an answer as one JSON body, once it is complete. */
export async function writeJson(
  response: Response,
  source: AnswerSource,
  metadata: AnswerMetadata,
): Promise<void> {
  const tokens: string[] = []
  for (;;) {
    const part = await source.next(tokens.length)
    tokens.push(...part.tokens)
    if (part.end === undefined || (part.end.type === 'answered' && tokens.length < part.end.tokens)) continue
    if (part.end.type !== 'answered') throw toAnswerError(part.end)
    setAnswerHeaders(response, source.request)
    return void response.json(completionBody(source.request, metadata, tokens, part.end.finish))
  }
}

/** Writes an answer as server-sent events, one per token; the event id is the number of tokens so far. */
export async function writeEventStream(
  response: Response,
  source: AnswerSource,
  metadata: AnswerMetadata,
  from: number,
): Promise<void> {
  let sent = from
  const chunk = createChunkWriter(source, metadata)
  for (;;) {
    const part = await source.next(sent)
    if (part.end !== undefined && part.end.type !== 'answered' && !response.headersSent)
      throw toAnswerError(part.end)
    startEventStream(response, source.request)
    for (const token of part.tokens) response.write(chunk(++sent, token))
    if (response.closed) return
    if (response.writableNeedDrain) await Promise.race([once(response, 'drain'), once(response, 'close')])
    if (part.end === undefined) continue
    if (part.end.type !== 'answered') return endWithError(response, part.end, source.request)
    if (sent < part.end.tokens) continue
    response.write(chunk(sent, undefined, part.end.finish))
    return void response.end('data: [DONE]\n\n')
  }
}

function startEventStream(response: Response, request: string): void {
  if (response.headersSent) return
  setAnswerHeaders(response, request)
  response.setHeader('content-type', 'text/event-stream; charset=utf-8')
  response.setHeader('cache-control', 'no-store')
  response.flushHeaders()
}

function setAnswerHeaders(response: Response, request: string): void {
  response.setHeader('x-forkstage-execution', 'ran')
  response.setHeader('x-forkstage-request', request)
}

/** Returns a function that formats chunks; their constant part is serialized once. */
function createChunkWriter(source: AnswerSource, metadata: AnswerMetadata) {
  const head = JSON.stringify({
    id: source.request,
    object: 'chat.completion.chunk',
    created: metadata.created,
    model: metadata.model,
  })
  const open = `${head.slice(0, -1)},"choices":[{"index":0,"delta":`
  return (count: number, token: string | undefined, finish: string | null = null): string => {
    const delta = token === undefined ? '{}' : `{"content":${JSON.stringify(token)}}`
    return `id: ${count}\ndata: ${open}${delta},"finish_reason":${JSON.stringify(finish)}}]}\n\n`
  }
}

function completionBody(request: string, metadata: AnswerMetadata, tokens: string[], finish: string) {
  const { model, promptTokens, created } = metadata
  const message = { role: 'assistant', content: tokens.join('') }
  const usage = {
    prompt_tokens: promptTokens,
    completion_tokens: tokens.length,
    total_tokens: promptTokens + tokens.length,
  }
  return {
    id: request,
    object: 'chat.completion',
    created,
    model,
    choices: [{ index: 0, message, finish_reason: finish }],
    usage,
  }
}

/** Ends an incomplete answer with an error event, so that its caller does not take it for complete. */
function endWithError(response: Response, end: RequestEnd, request: string): void {
  const error = toAnswerError(end)
  response.end(`event: error\ndata: ${JSON.stringify(errorBody(error, error.execution, request))}\n\n`)
}

/** Returns the error to report to the caller of a request that ended without a complete answer. */
export function toAnswerError(end: RequestEnd): AnswerError {
  if (end.type === 'refused') {
    const message = `The request was not run: ${end.reason}.`
    const hint = `Send the request again in about ${Math.ceil(end.retryAfter)} ms.`
    return new AnswerError('FORKSTAGE_REFUSED', message, hint, 503, 'not-run', end.retryAfter, {
      step: 'place',
    })
  }
  if (end.type === 'failed') {
    const { reason, step, peer, execution } = end
    return new AnswerError(
      'FORKSTAGE_FAILED',
      `The request failed at ${step}: ${reason}.`,
      'Send the request again.',
      502,
      execution,
      500,
      { step, peer },
    )
  }
  return new AnswerError(
    'FORKSTAGE_CANCELLED',
    'The request was cancelled.',
    'Send the request again.',
    499,
    'may-have-run',
    undefined,
    { step: 'relay' },
  )
}

/** Reports an error to a caller: as an error response, or as an error event if the response has already begun. */
export function endWithFailure(response: Response, error: unknown, request: string | undefined): void {
  if (!response.headersSent) return sendError(response, error, request)
  response.end(`event: error\ndata: ${JSON.stringify(errorBody(error, 'may-have-run', request))}\n\n`)
}
