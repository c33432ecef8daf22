/** Repair of replicated groups. */
export { ReplaceError, replaceReplica } from './replaceReplica'
export type { ReplaceReplicaOptions } from './replaceReplica'
