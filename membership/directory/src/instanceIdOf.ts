import type { InstanceId, RegisteredEndpoint } from './directoryTypes'

const BASE = 36

/**
 * The id of one incarnation of an endpoint: its name and the start of its process, or the name alone without
 * a start.
 * @param born Unix time in milliseconds.
 */
export function instanceIdOf(name: string, born: number | undefined): InstanceId {
  return born === undefined ? name : `${name}~${born.toString(BASE)}`
}

/** The endpoint's own name, which is also its name on the wire. */
export function nameOf({ id, name }: Pick<RegisteredEndpoint, 'id' | 'name'>): string {
  return name ?? id
}
