/** Log events of an entry about its load and the connections of its callers. */
export interface EntryLoadEvents {
  /**
   * Connections of callers that a stop ended `quiet` (without a request) and `forced` (at the end of the grace time), those of
   * both that had brought bytes of a request without an answer, and how long this took.
   */
  'callers.closed': { quiet: number; forced: number; unanswered: number; tookMs: number }
  /**
   * An entry delays its callers' requests by itself, by a busy event loop (`loopMs`) or a full link (`connectMs`, the time
   * that each connect to an endpoint exceeds its shortest); at most once a second.
   */
  'entry.delayed': {
    loopMs: number
    connectMs: number
    running: number
    connections: number
    /** Bytes of answers that wait in the process. */
    unsentBytes: number
    /** Limit on the requests in progress; absent while there is none. */
    limit?: number
    /** Connections closed unread and requests refused for the limit, since the start. */
    closed: number
    refused: number
  }
  /** An entry takes on fewer requests than come: it closes connections unread beyond `limit` requests in progress. */
  'entry.overloaded': {
    loopMs: number
    connectMs: number
    /** The part of `connectMs` that is not the event loop's. */
    linkMs: number
    /** The standing delay that the targets of the routes allow; that of the link is bounded by itself. */
    maxDelayMs: number
    running: number
    limit: number
  }
  /**
   * An entry takes on all requests again. `closed` connections unread and `refused` requests since its start; `waitedMs`: the
   * longest that one of those closed since `entry.overloaded` may have waited in the queue of the listener.
   */
  'entry.keeps_up': { running: number; closed: number; waitedMs: number; refused: number }
}
