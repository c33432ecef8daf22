/** The Raft protocol as a state machine without I/O. */
export { stepRaft } from './stepRaft'
export type { RaftEvent, StepResult } from './stepRaft'
export { createRaft } from './raftState'
export type { CreateRaftOptions, RaftState } from './raftState'
export { leaseSince, leaseUntil } from './replicate'
export { ReconfigurationError } from './reconfigure'
export type { ConfigChange } from './reconfigure'
export type * from './types'
