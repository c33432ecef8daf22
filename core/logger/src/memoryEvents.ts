/** The fields of the log events about memory, by event name. */
export interface MemoryEvents {
  /** The budget for bodies, and what it is derived from: the setting and what the machine has. */
  'memory.budget': { processMb: number; machineMb: number; bodies: number; answers: number }
  /** A process approaches its memory limit or V8's for its heap: its memory, and what the machine holds by name. */
  'memory.high': {
    resident?: number
    heapUsed: number
    heapLimit: number
    /** Outside the V8 heap, with the array buffers. */
    external: number
    arrayBuffers?: number
    limit: number
    /** Which limit is closest: `limit` for the resident memory, or `heapLimit`. */
    closest: 'resident' | 'heap'
    held: Record<string, number>
  }
  /** The operating system does not tell the memory of the process. */
  'memory.unreadable': { reason: string }
  /** Bodies begin to wait for room. `spare` of those held may be let go. */
  'memory.spent': { held: number; limit: number; spare: number; refused: number }
  /** No body waits for room any more. `refused` requests since the start. */
  'memory.room': { held: number; limit: number; refused: number }
  /** A request was refused before its body was read in full. */
  'request.unread': {
    request: string
    outcome: 'too-large' | 'no-room' | 'too-slow'
    status: number
    /** Its declared length; absent if it has none. */
    bytes?: number
    tookMs: number
  }
}
