const KB = 1024
const MB = 1024 * KB

/** Limits of the processes under test, lower than a deployment's, so that a small crowd meets them. */
export const LIMITS = {
  entry: { processMb: 128, heapMb: 32 },
  control: { processMb: 144, heapMb: 48 },
  semiSpaceMb: 2,
  /** Descriptors that a process may open. */
  descriptors: 256,
  /** Limits of the sheet for callers. */
  headerBytes: 4 * KB,
  bodyBytes: 256 * KB,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
} as const

/** What each process must stay under, beside the `processMb` above. */
export const BOUNDS = {
  /** Leaves a process room to open a file and to call endpoints and peers. */
  openDescriptors: 240,
} as const

/** The crowd, and how much each of its clients sends at most. */
export const CROWD = {
  clients: 32,
  connections: 320,
  /** One-byte chunks of a body that is below every limit. */
  smallBodyChunks: 60_000,
  /** One-byte chunks of a body without end. */
  endlessChunks: 200_000,
  chunkBytes: 64 * KB,
  headBytes: 512 * KB,
  endlessBytes: 16 * MB,
  /** Far over the limit of callers and of operators. */
  announcedBytes: 64 * MB,
  pipeliningClients: 8,
  pipelinedRequests: 60_000,
  /** Bytes of a call between machines, and of its answer. */
  peerCallBytes: 4 * KB,
} as const

/** Times that decide only when the crowd stops sending, and how long a condition is waited for. */
export const WAITS = {
  /** A client that could write nothing for this long is held up. */
  stalledMs: 2_000,
  playMs: 15_000,
  answerMs: 45_000,
  attemptMs: 5_000,
  pauseMs: 50,
  sampleMs: 50,
  /** A process that used no more processor time than this in that time has dealt with what was sent. */
  restMs: 200,
  restTicks: 4,
  /** After so long it need not be at rest: some bytes are read slowly on purpose. */
  workMs: 4_000,
  testMs: 120_000,
} as const
