import type { BoxId, RequestId } from '@forkstage/types'

/** The start of the process that made a request id. */
export interface RequestOrigin {
  box: BoxId
  incarnation: string
}

const SEPARATOR = '~'

/** Makes a request id that names the box and the start of the process it came from. */
export function formatRequestId(origin: RequestOrigin, count: number): RequestId {
  return [origin.box, origin.incarnation, count.toString(36)].join(SEPARATOR)
}

/** Reads the origin out of a request id; undefined where it is none of ours. */
export function originOf(request: RequestId): RequestOrigin | undefined {
  const [box, incarnation, count] = request.split(SEPARATOR)
  return box !== undefined && incarnation !== undefined && count !== undefined
    ? { box, incarnation }
    : undefined
}
