import { request as httpRequest } from 'undici'
import { readLines } from '@forkstage/engine-client'
import { CALLER_TOKEN, type BoxHandle } from './deployment'

/** A model request as a caller sends it. */
export interface ChatOptions {
  model: string
  prompt: string
  stream?: boolean
  maxTokens?: number
  headers?: Record<string, string>
  signal?: AbortSignal
  /** Called for each token on arrival, with its event id. */
  onToken?: (text: string, id: number) => void
}

/** The answer to a chat request, as its caller received it. */
export interface ChatAnswer {
  status: number
  /** `X-Forkstage-Execution`: whether the request ran. */
  execution: string
  /** The request id that the box assigned; empty when the answer names none. */
  request: string
  text: string
  tokens: number
  /** Whether the answer is complete: the stream ended with `[DONE]`, or the body has choices. */
  whole: boolean
  error?: { code: string; message: string; execution: string }
  /** Milliseconds from sending to the first token; undefined when none arrived. */
  ttftMs?: number
  /** Mean milliseconds between tokens; undefined with fewer than two tokens. */
  tbtMs?: number
  /** Id of the last event; initially the `last-event-id` that was sent, or 0. */
  lastEventId: number
  /** `X-Forkstage-Retry-After-Ms`; undefined when the answer has no such header. */
  retryAfterMs?: number
}

/** Sends a chat request to a box and returns its answer, read from a stream or from one JSON body. */
export async function sendChat(box: Pick<BoxHandle, 'callers'>, options: ChatOptions): Promise<ChatAnswer> {
  const { model, prompt, stream = true, maxTokens = 64, headers, signal, onToken } = options
  const sentAt = performance.now()
  const response = await httpRequest(`http://${box.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${CALLER_TOKEN}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify({
      model,
      stream,
      max_tokens: maxTokens,
      messages: [{ role: 'user', content: prompt }],
    }),
    signal,
    headersTimeout: 0,
    bodyTimeout: 0,
  })
  const answer: ChatAnswer = {
    status: response.statusCode,
    execution: String(response.headers['x-forkstage-execution']),
    request: String(response.headers['x-forkstage-request'] ?? ''),
    text: '',
    tokens: 0,
    whole: false,
    lastEventId: Number(headers?.['last-event-id'] ?? 0),
  }
  const retryAfter = response.headers['x-forkstage-retry-after-ms']
  if (retryAfter !== undefined) answer.retryAfterMs = Number(retryAfter)
  if (response.statusCode !== 200 || !stream) return readWhole(answer, await response.body.text(), sentAt)
  await readEvents(answer, response.body, sentAt, onToken)
  return answer
}

function readWhole(answer: ChatAnswer, text: string, sentAt: number): ChatAnswer {
  const body = JSON.parse(text) as {
    error?: ChatAnswer['error']
    choices?: { message: { content: string } }[]
    usage?: { completion_tokens: number }
  }
  answer.error = body.error
  answer.text = body.choices?.[0]?.message.content ?? ''
  answer.tokens = body.usage?.completion_tokens ?? 0
  answer.whole = body.choices !== undefined
  answer.ttftMs = performance.now() - sentAt
  return answer
}

async function readEvents(
  answer: ChatAnswer,
  body: NodeJS.ReadableStream,
  sentAt: number,
  onToken: ChatOptions['onToken'],
): Promise<void> {
  let firstAt = 0
  let lastAt = 0
  let id = 0
  let isError = false
  const readLine = (line: string) => {
    if (line.startsWith('id: ')) return void (id = Number(line.slice(4)))
    if (line.startsWith('event: error')) return void (isError = true)
    if (!line.startsWith('data: ')) return
    const data = line.slice(6)
    if (data === '[DONE]') return void (answer.whole = true)
    const parsed = JSON.parse(data) as {
      error?: ChatAnswer['error']
      choices?: { delta: { content?: string } }[]
    }
    if (isError) return void (answer.error = parsed.error)
    const text = parsed.choices?.[0]?.delta.content
    if (text === undefined) return
    lastAt = performance.now()
    if (answer.tokens === 0) firstAt = lastAt
    answer.tokens += 1
    answer.text += text
    answer.lastEventId = id
    onToken?.(text, id)
  }
  try {
    await readLines(body as never, readLine)
  } finally {
    if (answer.tokens > 0) answer.ttftMs = firstAt - sentAt
    if (answer.tokens > 1) answer.tbtMs = (lastAt - firstAt) / (answer.tokens - 1)
  }
}

/** Sends a call to a plain service through a box and returns its answer; `request` is empty when the box assigned no id. */
export async function sendPlain(
  box: Pick<BoxHandle, 'callers'>,
  path: string,
  options: { method?: 'GET' | 'POST' | 'PUT'; body?: string | Buffer; headers?: Record<string, string> } = {},
): Promise<{
  status: number
  execution: string
  request: string
  body: Buffer
  headers: Record<string, unknown>
}> {
  const { method = 'GET', body, headers } = options
  const response = await httpRequest(`http://${box.callers}${path}`, {
    method,
    body,
    headers: { authorization: `Bearer ${CALLER_TOKEN}`, ...headers },
  })
  return {
    status: response.statusCode,
    execution: String(response.headers['x-forkstage-execution']),
    request: String(response.headers['x-forkstage-request'] ?? ''),
    body: Buffer.from(await response.body.arrayBuffer()),
    headers: response.headers,
  }
}
