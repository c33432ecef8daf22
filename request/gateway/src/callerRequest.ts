import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@forkstage/clock'
import { contentDigest, partDigest, type ContentDigest, type PartDigest } from '@forkstage/crashes'
import type { Millis } from '@forkstage/types'
import type { BodyMemory } from './bodyMemory'
import type { GatewayWire } from './gatewayWire'
import type { HeldBody } from './heldBody'
import { readBody, type BodyFailure } from './readBody'
import { sharedPartIds } from './sharedPartIds'

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
])

/** A caller's request, read in full. */
export interface CallerRequest {
  id: string
  method: string
  /** Path with query, as sent. */
  path: string
  host: string
  /** Header values by lower-case name. */
  headers: IncomingMessage['headers']
  /**
   * Headers to forward, as alternating names and values: without hop-by-hop headers and those that only the system
   * sets.
   */
  rawHeaders: string[]
  body: HeldBody
  /** Returns the digest of the request's content, which is the same whatever its id; computed on the first call. */
  content: () => ContentDigest
  /** Returns the digests of the prompt parts that it may share with other requests to a service. */
  parts: (service: string) => PartDigest[]
  arrivedAt: Millis
  /** Milliseconds that the caller waits, from `arrivedAt`; Infinity where it sent no deadline. */
  deadlineMs: Millis
  response: ServerResponse
  /** Whether the caller has closed its connection. */
  isDisconnected: () => boolean
  /** Calls back once when the caller disconnects; at once where it already has. */
  onDisconnect: (callback: () => void) => void
}

/** Options of {@link readCallerRequest}. */
export interface ReadCallerRequestOptions {
  wire: GatewayWire
  clock: Clock
  memory: BodyMemory
  maxBodyBytes: number
  /** How long the body waits for room before it is read. */
  waitMs: Millis
  /** How long the caller may take to send the body; it may not take longer than its deadline. */
  limitMs: Millis
  /** Called right before the body is read. */
  onRead?: () => void
}

/** Reads a request with its whole body; returns why there is none otherwise. */
export async function readCallerRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
  options: ReadCallerRequestOptions,
): Promise<CallerRequest | BodyFailure> {
  const { wire, clock, memory, maxBodyBytes, waitMs, onRead } = options
  const arrivedAt = clock.now()
  const disconnection = watchDisconnect(response)
  const { onDisconnect } = disconnection
  const deadlineMs = deadlineOf(incoming, wire)
  const limitMs = Math.min(options.limitMs, deadlineMs)
  const bounds = { maxBytes: maxBodyBytes, waitMs: Math.min(waitMs, limitMs), limitMs }
  const body = await readBody(incoming, { memory, clock, ...bounds, onRead, onDisconnect })
  if (typeof body === 'string') return body
  const contentParts = {
    key: firstValue(incoming.headers[wire.headers.key]),
    method: incoming.method ?? 'GET',
    host: incoming.headers.host ?? '',
    path: incoming.url ?? '/',
  }
  const promptParts = firstValue(incoming.headers[wire.headers.promptParts])
  const id = firstValue(incoming.headers[wire.headers.requestId]) ?? ''
  // The digest of a body that has been released without one equals no other, so that it says nothing about any content.
  const bodyParts = () => (body.isReleased ? [Buffer.from(id)] : body.read())
  const content = once(() => contentDigest({ ...contentParts, body: bodyParts() }))
  body.onLetGo = content
  return {
    id,
    method: contentParts.method,
    path: contentParts.path,
    host: contentParts.host,
    headers: incoming.headers,
    rawHeaders: dropHeaders(incoming.rawHeaders, [
      ...wire.reserved,
      'content-length',
      wire.headers.deadlineMs,
    ]),
    body,
    content,
    parts: (service) => sharedPartIds(promptParts, wire).map((part) => partDigest(service, part)),
    arrivedAt,
    deadlineMs,
    response,
    ...disconnection,
  }
}

function deadlineOf({ headers }: IncomingMessage, wire: GatewayWire): Millis {
  const deadline = Number(firstValue(headers[wire.headers.deadlineMs]))
  return Number.isFinite(deadline) && deadline > 0 ? deadline : Infinity
}

/**
 * Returns alternating header names and values without hop-by-hop headers and without those in `names`, which are in
 * lower case.
 */
export function dropHeaders(rawHeaders: string[], names: string[]): string[] {
  const dropped = new Set([...HOP_BY_HOP, ...names])
  const kept: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!
    if (!dropped.has(name.toLowerCase())) kept.push(name, rawHeaders[index + 1]!)
  }
  return kept
}

/** Removes the first of several headers of one name: the caller's, where the system appends its own. */
export function withoutFirstDuplicate(rawHeaders: string[], name: string): string[] {
  const first = rawHeaders.findIndex((each, index) => index % 2 === 0 && each.toLowerCase() === name)
  const last = rawHeaders.findLastIndex((each, index) => index % 2 === 0 && each.toLowerCase() === name)
  return first === last ? rawHeaders : rawHeaders.filter((_, index) => index !== first && index !== first + 1)
}

/** Returns the value of a header that may occur only once; the first value where it is repeated. */
export function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function once<Result>(make: () => Result): () => Result {
  let made: { value: Result } | undefined
  return () => (made ??= { value: make() }).value
}

function watchDisconnect(response: ServerResponse): Pick<CallerRequest, 'isDisconnected' | 'onDisconnect'> {
  const callbacks: (() => void)[] = []
  let hasDisconnected = false
  response.on('error', () => undefined)
  response.on('close', () => {
    if (response.writableFinished) return
    hasDisconnected = true
    callbacks.forEach((callback) => callback())
  })
  return {
    isDisconnected: () => hasDisconnected,
    onDisconnect: (callback) => {
      if (hasDisconnected) callback()
      else callbacks.push(callback)
    },
  }
}
