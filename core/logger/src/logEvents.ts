import type { ErrorBody } from '@forkstage/error'
import type { EntryLoadEvents } from './entryLoadEvents'
import type { ConnectionEvents } from './connectionEvents'
import type { MemoryEvents } from './memoryEvents'

/** The leader's answer to a request for an isolated or an exclusive trial, or that no leader answered. */
export type TrialOutcome = 'granted' | 'later' | 'anywhere' | 'isolate' | 'no leader answered'

/** The fields of every log event, by event name. */
export interface LogEvents extends ConnectionEvents, EntryLoadEvents, MemoryEvents {
  'box.started': { box: string; addresses: Record<string, string>; version: string }
  'start.begun': { pid: number; version: string; ageMs: number }
  'start.signal': { signal: string; ageMs: number }
  /** A step of the start cannot be done yet and is tried again; logged when the reason changes and at growing intervals. */
  'start.waiting': { step: string; reason: string; ageMs: number }
  'start.failed': { ageMs: number } & ErrorBody
  'start.code_cache_unused': { reason: string }
  'box.ready': { ready: boolean; reason: string }
  'box.stopping': { reason: string; streams: number }
  'box.stopped': { cut: number }
  'box.stop_cut_off': { reason: string }
  'replica.founded': { group: string; replica: string; voters: string[] }
  'replica.role': { group: string; replica: string; role: string; term: number }
  'replica.membership': { group: string; change: string; replica: string }
  /**
   * Tolerance of the loss of `losses` failure domains: `missing` voters for a majority after that loss (0 or less:
   * tolerated), and live `voters` per domain.
   */
  'replica.domains': { group: string; losses: number; missing: number; voters: Record<string, number> }
  'replica.refused': { group: string; reason: string } & Partial<ErrorBody>
  'replica.snapshot': { group: string; index: number; bytes: number }
  'replica.invariant': { group: string } & ErrorBody
  'table.installed': { version: number; digest: string; rows: number }
  'table.confirm': { version: number; outcome: string; who: string; confirmId: string }
  'lease.lost': { version: number; reason: string }
  'lease.won': { version: number; untilMs: number }
  'owner.changed': { endpoint: string; owner: string; epoch: string }
  'owner.released': { endpoint: string; request: string; kind: string; ageMs: number }
  /** A control machine has not confirmed that it has the departure of an endpoint on disk. */
  'departure.not-persisted': { endpoint: string; peer: string; reason: string }
  'endpoint.ejected': { endpoint: string; reason: string; forMs: number }
  'endpoint.restored': { endpoint: string }
  /** A machine reaches an endpoint only through another machine, `via`. */
  'path.indirect': { endpoint: string; via: string; reason: string }
  /** A machine reaches an endpoint over its own links again; `left` endpoints it still does not. */
  'path.direct': { endpoint: string; left: number }
  /** A machine reaches no endpoint, also through others; logged once until it reaches one. */
  'path.none': { reason: string }
  /** The known rate advertised by an endpoint has changed; requests per second from all machines together. */
  'endpoint.rate': {
    endpoint: string
    outcome: 'named' | 'changed' | 'withdrawn'
    /** Absent if the endpoint advertises no rate. */
    perSecond?: number
    before?: number
    /** Whether the rate comes from a response of the endpoint or from another machine. */
    by: 'answer' | 'machine'
    /** Age of the information. */
    ageMs: number
  }
  /** The backoff (Retry-After) of an endpoint, as known to this machine, has changed. */
  'endpoint.rest': {
    endpoint: string
    /** `unreadable`: Retry-After could not be parsed; logged once per endpoint. */
    outcome: 'asked' | 'longer' | 'over' | 'unreadable'
    /** The request that was rejected; absent if the backoff is over. */
    request?: string
    /** Duration from the response on. */
    forMs?: number
    /** The value that could not be parsed. */
    value?: string
    /** Time since the backoff was first requested. */
    ageMs?: number
  }
  /** An endpoint has announced in its response to a request that it is leaving. */
  'endpoint.leaving': { endpoint: string; request: string }
  /** Invalid endpoints in the list of another machine. */
  'endpoints.refused': { peer: string; count: number }
  /** An invalid registration. `endpoint` is the name given by the sender; `count` is the number since the start. */
  'registration.refused': { endpoint: string; bytes: number; count: number }
  /** Requests of this content are no longer sent to any endpoint. */
  'content.refused': {
    /** Digest of the content of such requests. */
    content: string
    /** `ends`: refused by its number of crashes, which other contents may explain; needs isolated trials. */
    by: 'blame' | 'ends'
    /** Number of incarnations of endpoints that the content is blamed for, or that crashed while running it. */
    ends: number
    ended: string[]
    served: string[]
    ageMs: number
    leftMs: number
  }
  /** One cause took endpoints together; most of these crashes do not count against a content or part that ran there. */
  'content.excused': {
    content: string
    excused: string[]
  }
  /** An isolated trial was requested for a suspect content. */
  'content.alone': {
    content: string
    service: string
    /** `anywhere`: the service has too few endpoints to reserve one. */
    outcome: TrialOutcome
    endpoint?: string
    retryAfterMs?: number
  }
  /** Exclusive execution, one run at a time, was requested for a content that may be suspect. */
  'content.turn': {
    request: string
    content: string
    service: string
    /** `later`: another run of the content is in progress; `isolate`: the leader requires an isolated trial. */
    outcome: TrialOutcome
    endpoint?: string
    retryAfterMs?: number
  }
  /** The set of reserved endpoints has changed. */
  'endpoints.kept-free': { endpoints: string[] }
  /** An endpoint has crashed while it was running `requests`; `contents` are digests. */
  'endpoint.ended': {
    endpoint: string
    service: string
    evidence: 'refuses' | 'replaced'
    /** Time since a response of the endpoint was last lost. */
    ageMs: number
    requests: string[]
    contents: string[]
    /** Digests of the prompt parts of those requests whose answers the endpoint had not begun to write. */
    parts: string[]
  }
  'order.sent': { endpoint: string; action: string; fence: number; outcome: string }
  'placement.decided': {
    request: string
    caller: string
    service: string
    outcome: string
    reason: string
    choice?: unknown
    candidates: unknown[]
  }
  'request.received': { request: string; caller: string; service: string; key: string; repeatable: boolean }
  'request.claimed': { request: string; outcome: string; epoch: number }
  'request.step': { request: string; step: string; peer?: string; detail?: unknown }
  'request.failed': { request: string; attempt: number } & ErrorBody
  'request.settled': { request: string; execution: string; status: number; tokens: number; ttftMs?: number }
  'request.released': { request: string; endpoint: string; confirmed: boolean }
  'invariant.broken': ErrorBody
  'log.omitted': { counts: Record<string, number> }
  'control.lost': { peer: string; reason: string }
  'control.regained': { peer: string }
  /** The machine may have been suspended, or its wall clock was set. */
  'machine.suspended': { outcome: string }
  'sheet.installed': { version: number; routes: number; services: number }
  'sheet.refused': { reason: string }
  /** A control machine has refused a sheet's body: for its size, that of all together, or since it did not arrive in time. */
  'body.refused': { bytes: number; heldBytes: number; reason: 'size' | 'total' | 'time' }
  'sheet.put': { version: number; outcome: string; held: number }
  /** An operator's order, at the control machine that accepted it; `index` is the log index of the last change. */
  'evacuation.taken': {
    domain: string
    action: 'begin' | 'withdraw'
    index: number
    outcome: 'changed' | 'held' | 'overtaken'
  }
  /** An order of which it is not known whether it was accepted. */
  'evacuation.unsure': { domain: string; action: 'begin' | 'withdraw'; reason: string }
  'evacuation.refused': { reason: string }
  /** A replica has applied an order at `logIndex`; an order with an old `knownIndex` may have been delivered late. */
  'evacuation.applied': {
    domain: string
    action: 'begin' | 'withdraw'
    logIndex: number
    knownIndex: number
    outcome: 'changed' | 'held' | 'overtaken'
    /** The control machine that received the order; absent in entries of earlier versions. */
    receivedBy?: string
  }
  /** The set of evacuated domains known to a machine has changed: it sends nothing more to their endpoints. */
  'evacuation.in-force': { index: number; count: number; domains: string[] }
  'endpoint.registered': {
    endpoint: string
    state: string
    stage?: string
    service: string
    address: string
    /** Version of its software; absent if not reported. */
    softwareVersion?: string
    sequence: number
  }
  /** Several endpoints have changed together, for example after a start. */
  'endpoints.changed': { count: number; states: Record<string, number>; endpoints: string[] }
  /** Endpoints are considered cold, or warm again; one line for all that change together. */
  'endpoints.cold': {
    outcome: 'cold' | 'warm'
    count: number
    endpoints: string[]
    /** Remaining time until the last of them is warm; 0 for warm ones. */
    leftMs: number
    /** How long the first of them had been considered cold; 0 for those that have just become cold. */
    ageMs: number
  }
  'endpoint.recalled': { endpoint: string; outcome: string }
  /** A file with the state from before the start could not be read. */
  'file.not-recalled': { file: string; reason: string }
  'file.not-kept': { file: string; reason: string }
  'settings.reloaded': { changed: string[] }
  'stage.abandoned': { endpoint: string; stage: string; reason: string }
  'stage.ordered': {
    endpoint: string
    stage: string
    fence: number
    outcome: string
    need: { prefill: number; decode: number }
    have: { prefill: number; decode: number }
  }
  /** An engine has become slow compared with its peers, or has recovered. */
  'engine.pace': {
    endpoint: string
    stage: string
    outcome: 'slow' | 'well'
    /** Milliseconds per decoded token, or per millisecond of expected prefill time. */
    pace: number
    peers: number
    /** Ratio of its time to that of its peers while it is well. */
    build: number
    /** Slowdown against its own past, relative to its peers. */
    slowness: number
    ageMs: number
    term: number
  }
  /** A migration was ordered: the engine of a running request has become slow or is leaving. */
  'answer.moves': { request: string; entry: string; endpoint: string }
  /** The result of a migration, at the entry of the request. */
  'answer.moved': { request: string; from: string; to: string; outcome: string; tookMs: number }
  /** An entry's report of a running request is inconsistent. */
  'place.report-refused': { entry: string; request: string; reason: string }
  'place.alone': { request: string; reason: string }
  'place.decided': {
    request: string
    entry: string
    outcome: string
    reason: string
    promptTokens: number
    /** Allowed regions of the request, as sent by its entry; absent if any region is allowed. */
    regions?: readonly string[]
    /** Failure domain of its entry. */
    entryDomain?: string
    /** Prompt tokens expected in the prefix cache of its prefill or decode engine; absent if there are none. */
    keptTokens?: number
    targetMs: number
    /** Whether its caller had been refused before and has retried. */
    isReturn: boolean
    waitedMs: number
    holds: number
    waiting: number
    /** Known state of the engines: the numbers in use, the one with the most room, the shortest prefill queue. */
    engines: {
      decoders: number
      readers: number
      roomiest?: { endpoint: string; peak: number; running: number }
      soonest?: { endpoint: string; queuedMs: number }
      /** Number of cold engines, and of those that receive nothing at present; absent if none is cold. */
      cold?: { engines: number; withheld: number }
    }
    /** KV cache capacity of one engine, in tokens. */
    memory: number
    term: number
  }
  /** A request was not sent to its chosen endpoint, because that endpoint must not receive it any more. */
  'send.withheld': { request: string; endpoint: string; step: string; reason: string }
  /** A request was refused because it had no key of the current sheet. */
  'key.refused': {
    request: string
    route: string
    reason: string
    /** First digits of the key's digest; absent if the request did not have exactly one key. */
    key?: string
    sheetVersion: number
    outcome: string
  }
  /** A request was refused because it exceeds the quota of its workspace. */
  'quota.refused': {
    request: string
    workspace: string
    /** Units of the request; `level` is the number of units that this entry could still admit. */
    units: number
    level: number
    /** Age of the leader's last information about the quota; absent if there is none. */
    ageMs?: number
    /** Whether this entry decided without the leader. */
    isAlone: boolean
    retryAfterMs: number
    sheetVersion: number
    waitedMs: number
  }
  /** The leader did not answer a call, for the first time since its last answer. */
  'leader.unanswered': { peer: string; step: string; reason: string }
  'request.answered': {
    request: string
    route: string
    /** Workspace of its key. */
    workspace?: string
    status: number
    outcome: string
    tookMs: number
    firstEventMs?: number
    /** Longest time between two events of a stream. */
    longestPauseMs?: number
    /** Remaining time of the request when the entry aborted a response that had begun. */
    cutWithLeftMs?: number
    /** The request that began the stream, if the caller resumes one. */
    resumes?: string
    /** Digest of the prompt part that the request is refused for. */
    part?: string
    sends: unknown[]
  }
  /** A caller resumes a stream: how the software version that began it is known, or why it is not. */
  'stream.resumed': {
    request: string
    /** `entry`, `leader` or `sole version` if it is known; else `unknown`, `uncertain` or `no-leader`. */
    outcome: string
    /** Where the stream began; both absent if that is unknown. */
    service?: string
    softwareVersion?: string
    waitedMs: number
  }
  /** A response that has begun waits because its continuation was refused; one line until its next event. */
  'answer.waits': { request: string; reason: string; leftMs: number }
  /** A connection was closed before the last bytes of a finished response were sent. */
  'answer.unsent': { request: string; bytes: number; by: 'entry' | 'caller' }
  /** A request was not served: an earlier answer on its connection had already announced that it closes it. */
  'request.unanswerable': { request: string }
  'peer.connected': { peer: string; box: string }
  'peer.lost': { peer: string; reason: string }
  'peer.refused': { peer: string; reason: string }
  'fault.unexpected': ErrorBody
}

/** The name of a log event. */
export type LogEventName = keyof LogEvents
