/** Log events about the connections that a machine accepts. */
export interface ConnectionEvents {
  /** The descriptors of the process, which its listeners share. */
  'connections.limits': { descriptors: number }
  /** A listener closed a new connection, since it holds as many as it may. */
  'connection.refused': { listener: string; limit: number }
}
