import type { PromptPart } from '@forkstage/allocator'
import { firstValue, type CallerRequest } from './callerRequest'
import type { GatewayWire, TokenCounts } from './gatewayWire'

/** Parts are sent with every placement request and report, so their number and the length of their names are limited. */
const MAX_PARTS = 16
const MAX_NAME_LENGTH = 64

/** Returns the prompt parts that a request names; undefined if it names none or they do not add up to its prompt. */
export function promptPartsOf(
  { headers }: CallerRequest,
  wire: GatewayWire,
  tokens: TokenCounts | undefined,
): PromptPart[] | undefined {
  const value = firstValue(headers[wire.headers.promptParts])
  const parts = value === undefined ? undefined : wire.readPromptParts(value)
  if (parts === undefined || tokens === undefined || parts.length > MAX_PARTS) return undefined
  const sum = parts.reduce((total, part) => total + part.tokens, 0)
  const isWhole = sum === tokens.prompt && parts.every(({ id }) => id.length <= MAX_NAME_LENGTH)
  return isWhole ? parts : undefined
}
