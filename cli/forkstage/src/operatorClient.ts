import got, { HTTPError, RequestError } from 'got'
import type { Argv } from 'yargs'
import { ForkstageError, type ErrorBody } from '@forkstage/error'
import type { BoxArguments } from './cliTypes'

/** Adds the options of a command that calls a box. */
export function withBox(argv: Argv): Argv {
  return argv
    .option('box', {
      type: 'string',
      default: process.env.FORKSTAGE_BOX ?? '127.0.0.1:7101',
      describe: "a box's operator address (or FORKSTAGE_BOX)",
    })
    .option('token', {
      type: 'string',
      default: process.env.FORKSTAGE_TOKEN ?? '',
      describe: 'an operator token (or FORKSTAGE_TOKEN)',
    })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
}

/** Options of {@link callBox}. */
export interface CallBoxOptions {
  method?: 'GET' | 'POST'
  body?: unknown
  timeoutMs?: number
}

const DEFAULT_TIMEOUT_MS = 30_000

/** Calls a box's operator interface. @throws ForkstageError with the box's own code and hint. */
export async function callBox<Answer>(
  args: BoxArguments,
  path: string,
  options: CallBoxOptions = {},
): Promise<Answer> {
  const { method = 'GET', body, timeoutMs = DEFAULT_TIMEOUT_MS } = options
  try {
    return await got(`http://${args.box}${path}`, {
      method,
      json: body,
      headers: { authorization: `Bearer ${args.token}` },
      timeout: { request: timeoutMs },
      retry: { limit: 0 },
    }).json<Answer>()
  } catch (error) {
    throw toForkstageError(error, args.box)
  }
}

function toForkstageError(error: unknown, box: string): unknown {
  if (error instanceof HTTPError) {
    const body = readError(String(error.response.body))
    if (body !== undefined)
      return new ForkstageError(body.code as `FORKSTAGE_${string}`, body.message, body.hint, {
        step: body.step,
        peer: body.peer ?? box,
      })
  }
  if (error instanceof RequestError) {
    return new ForkstageError(
      'FORKSTAGE_BOX_UNREACHABLE',
      `${box} did not answer: ${error.message}`,
      'Check --box, and that the box runs.',
      { peer: box, cause: error },
    )
  }
  return error
}

function readError(text: string): ErrorBody | undefined {
  try {
    return (JSON.parse(text) as { error: ErrorBody }).error
  } catch {
    return undefined
  }
}
