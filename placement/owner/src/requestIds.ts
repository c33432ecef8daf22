import type { BoxId, RequestId } from '@forkstage/types'

/** The box and the incarnation of its process that made a request id. */
export interface RequestOrigin {
  box: BoxId
  incarnation: string
}

const SEPARATOR = '~'

/** Formats a request id that names the box and the incarnation that made it. */
export function formatRequestId(origin: RequestOrigin, count: number): RequestId {
  return [origin.box, origin.incarnation, count.toString(36)].join(SEPARATOR)
}

/** Parses the origin of a request id; undefined if the id was not made by {@link formatRequestId}. */
export function originOf(request: RequestId): RequestOrigin | undefined {
  const [box, incarnation, count] = request.split(SEPARATOR)
  return box !== undefined && incarnation !== undefined && count !== undefined
    ? { box, incarnation }
    : undefined
}
