import type { InstanceId, RegisteredEndpoint } from './directoryTypes'

const BASE = 36

/**
 * The identity of one life of an endpoint: what it calls itself, and when its process started. One that gives no start
 * is known by its name alone.
 * @param born Unix time in milliseconds.
 */
export function instanceIdOf(name: string, born: number | undefined): InstanceId {
  return born === undefined ? name : `${name}~${born.toString(BASE)}`
}

/** What an endpoint calls itself, and is called by on the wire. */
export function nameOf({ id, name }: Pick<RegisteredEndpoint, 'id' | 'name'>): string {
  return name ?? id
}
