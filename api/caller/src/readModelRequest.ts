import { createHash } from 'node:crypto'
import { z } from 'zod'
import { estimateTokens, promptBlocks } from '@forkstage/load'
import { digestOf, type ModelRequest } from '@forkstage/runner'
import type { ModelSettings, Settings } from '@forkstage/settings'
import { BadRequestError } from './callerErrors'
import type { CallerHeaders } from './readHeaders'

const DEFAULT_MAX_TOKENS = 256
const MAX_MAX_TOKENS = 16_384

const content = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
])
const chatBody = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string(), content })).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(MAX_MAX_TOKENS).default(DEFAULT_MAX_TOKENS),
})

/** The fields of a chat request that the router reads; all others are forwarded to the engine unchanged. */
export type ChatBody = z.infer<typeof chatBody>

/** Parses the body of a chat request. @throws BadRequestError */
export function parseChatBody(bytes: Buffer): ChatBody {
  const result = chatBody.safeParse(parseJson(bytes))
  if (result.success) return result.data
  const faults = result.error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  throw new BadRequestError(
    'FORKSTAGE_BAD_BODY',
    `The body is not a valid chat request: ${faults.join('; ')}`,
    'See docs/callers.md for its shape.',
  )
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch (error) {
    throw new BadRequestError(
      'FORKSTAGE_BAD_JSON',
      `The body is not JSON: ${(error as Error).message}`,
      'Send valid JSON in UTF-8.',
    )
  }
}

/** Builds the model request of a chat request. @throws BadRequestError */
export function toModelRequest(
  bytes: Buffer,
  body: ChatBody,
  headers: CallerHeaders,
  caller: string,
  key: string,
  settings: Settings,
): ModelRequest {
  const model = findModel(body.model, settings)
  if (headers.repeatable === false) {
    throw new BadRequestError(
      'FORKSTAGE_BAD_HEADER',
      'A chat request is always repeatable.',
      'Omit x-forkstage-repeatable.',
    )
  }
  const text = promptText(body)
  const promptTokens = estimateTokens(text)
  assertFits(promptTokens, body.max_tokens, model)
  return {
    caller,
    key: `${caller}/${key}`,
    resumable: headers.key !== undefined,
    bodyDigest: digestOf(bytes),
    service: model.service,
    model: model.name,
    body,
    promptTokens,
    blocks: promptBlocks(text),
    maxTokens: body.max_tokens,
    kvBytesPerToken: model.kv_bytes_per_token,
    seed: createHash('sha1').update(`${caller}/${key}`).digest().readUInt32BE(0),
    className: headers.className,
    workspace: headers.workspace,
    priority: headers.priority,
    deadlineMs: headers.deadlineMs,
    ttftMs: headers.ttftMs,
  }
}

function findModel(name: string, settings: Settings): ModelSettings {
  const model = settings.models.find((each) => each.name === name)
  if (model !== undefined) return model
  const known = settings.models.map((each) => each.name).join(', ')
  throw new BadRequestError(
    'FORKSTAGE_UNKNOWN_MODEL',
    `There is no model "${name}".`,
    `Models: ${known}.`,
    404,
  )
}

function assertFits(promptTokens: number, maxTokens: number, model: ModelSettings): void {
  if (promptTokens + maxTokens <= model.context_tokens) return
  const message = `The prompt (${promptTokens} tokens) and the answer (${maxTokens}) exceed the context of ${model.context_tokens}.`
  throw new BadRequestError('FORKSTAGE_PROMPT_TOO_LONG', message, 'Shorten the prompt or max_tokens.', 413)
}

function promptText(body: ChatBody): string {
  const parts = body.messages.map(({ role, content: value }) => {
    const text = typeof value === 'string' ? value : value.map((part) => part.text ?? '').join('')
    return `${role}: ${text}`
  })
  return parts.join('\n')
}
