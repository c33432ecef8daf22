/** Stores the log, snapshot and identity of one replica in a folder. */
export { openReplicaStorage, ReplicaStorage } from './replicaStorage'
export type { OpenReplicaStorageOptions, ReplicaIdentity, StoredReplica } from './replicaStorage'
export { createFileSystem } from './fileSystem'
export type { AppendFile, FileSystem } from './fileSystem'
export { DamagedLogError, DiskError } from './storageErrors'
export type { LogRecord } from './records'
