import type { GatewayWire } from './gatewayWire'

/**
 * Returns the ids of the prompt parts that a request may share with others, by its header: all but the last, which
 * belongs to the request or its session. Wrong token counts do not matter here.
 */
export function sharedPartIds(value: string | undefined, wire: GatewayWire): string[] {
  const parts = value === undefined ? undefined : wire.readPromptParts(value)
  return [...new Set(parts?.slice(0, -1).map(({ id }) => id))]
}
