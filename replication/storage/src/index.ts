/** The folder of one replica: log, snapshot, identity. */
export { openReplicaStorage, ReplicaStorage } from './replicaStorage'
export type { OpenReplicaStorageOptions, ReplicaIdentity, StoredReplica } from './replicaStorage'
export { createFileSystem } from './fileSystem'
export type { AppendFile, FileSystem } from './fileSystem'
export { DamagedLogError, DiskError } from './storageErrors'
export type { LogRecord } from './records'
