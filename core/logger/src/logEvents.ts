import type { ErrorBody } from '@forkstage/error'

/** What the machine that leads said to who asked for an endpoint or a turn. */
export type TrialOutcome = 'granted' | 'later' | 'anywhere' | 'isolate' | 'no leader answered'

/** Every log event of the program by name, with the fields its line carries. */
export interface LogEvents {
  'box.started': { box: string; addresses: Record<string, string>; version: string }
  'start.code_cache_unused': { reason: string }
  'box.ready': { ready: boolean; reason: string }
  'box.stopping': { reason: string; streams: number }
  'box.stopped': { cut: number }
  'box.stop_cut_off': { reason: string }
  'replica.founded': { group: string; replica: string; voters: string[] }
  'replica.role': { group: string; replica: string; role: string; term: number }
  'replica.membership': { group: string; change: string; replica: string }
  /** Voters missing for a majority after the loss of so many failure domains (0 or less: borne), and live voters in each. */
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
  'endpoint.ejected': { endpoint: string; reason: string; forMs: number }
  'endpoint.restored': { endpoint: string }
  /** What is believed of the rate that an endpoint names, in requests a second from all machines together. */
  'endpoint.rate': {
    endpoint: string
    outcome: 'named' | 'changed' | 'withdrawn'
    /** Absent where it names none. */
    perSecond?: number
    before?: number
    /** Whether an answer said so here, or another machine. */
    by: 'answer' | 'machine'
    /** Of the word. */
    ageMs: number
  }
  /** What this machine believes of an endpoint that wants nothing from it for a while. */
  'endpoint.rest': {
    endpoint: string
    /** `unreadable`: its time to come back was none; one line an endpoint. */
    outcome: 'asked' | 'longer' | 'over' | 'unreadable'
    /** The request that it turned away so; absent for one that is over. */
    request?: string
    /** From the answer on. */
    forMs?: number
    /** What could not be read. */
    value?: string
    /** Since it was first asked for. */
    ageMs?: number
  }
  /** An endpoint has said in its answer to a request that it leaves. */
  'endpoint.leaving': { endpoint: string; request: string }
  /** Endpoints in another machine's list that say nothing of one to use. */
  'endpoints.refused': { peer: string; count: number }
  /** A statement that says nothing of an endpoint to use. `endpoint` is what its sender calls it; `count`: since the start. */
  'registration.refused': { endpoint: string; bytes: number; count: number }
  /** Requests of this content reach no endpoint any more. */
  'content.refused': {
    /** The digest of what such requests ask for. */
    content: string
    /** `ends`: others may explain them; it is refused only where it was to run alone before. */
    by: 'blame' | 'ends'
    /** Lives of endpoints that it is blamed for, or that ended under it. */
    ends: number
    ended: string[]
    served: string[]
    ageMs: number
    leftMs: number
  }
  /** A content that may end its endpoints asked to run where nothing else does. */
  'content.alone': {
    content: string
    service: string
    /** `anywhere`: its service has too few endpoints to keep one free. */
    outcome: TrialOutcome
    endpoint?: string
    retryAfterMs?: number
  }
  /** A content that may turn out to crash its endpoints asked to run once at a time. */
  'content.turn': {
    request: string
    content: string
    service: string
    /** `later`: another run of it is under way; `isolate`: it must run where nothing else does, by what the leader knows. */
    outcome: TrialOutcome
    endpoint?: string
    retryAfterMs?: number
  }
  /** An endpoint is kept free of everything else, or serves all again. */
  'endpoints.kept-free': { endpoints: string[] }
  /** Its process has ended without having said so, while these requests were at work there; `contents` by their digests. */
  'endpoint.ended': {
    endpoint: string
    service: string
    evidence: 'refuses' | 'replaced'
    /** Since its last answer was lost. */
    ageMs: number
    requests: string[]
    contents: string[]
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
  /** Time may have passed that the steady clock does not count, or the time of day was set. */
  'machine.suspended': { outcome: string }
  'sheet.installed': { version: number; routes: number; services: number }
  'sheet.refused': { reason: string }
  'sheet.put': { version: number; outcome: string; held: number }
  /** An operator's order at the control machine that took it; `index` is the log index of the last change. */
  'evacuation.taken': {
    domain: string
    action: 'begin' | 'withdraw'
    index: number
    outcome: 'changed' | 'held' | 'overtaken'
  }
  /** An order of which it is not known whether it was taken. */
  'evacuation.unsure': { domain: string; action: 'begin' | 'withdraw'; reason: string }
  'evacuation.refused': { reason: string }
  /** What a machine believes has changed: nothing more leaves for endpoints of these domains. */
  'evacuation.in-force': { index: number; count: number; domains: string[] }
  'endpoint.registered': {
    endpoint: string
    state: string
    stage?: string
    service: string
    address: string
    sequence: number
  }
  /** Many endpoints of which something is new, as after a start. */
  'endpoints.changed': { count: number; states: Record<string, number>; endpoints: string[] }
  /** Endpoints are believed cold, or warm again: many that change together in one line. */
  'endpoints.cold': {
    outcome: 'cold' | 'warm'
    count: number
    endpoints: string[]
    /** How much longer the last of them is cold; 0 for warm ones. */
    leftMs: number
    /** How long the first of them had been believed cold; 0 for those that turn so. */
    ageMs: number
  }
  'endpoint.recalled': { endpoint: string; outcome: string }
  /** A file of what a machine knew before its start could not be read. */
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
  /** An engine has turned slow beside its peers, or is well again. */
  'engine.pace': {
    endpoint: string
    stage: string
    outcome: 'slow' | 'well'
    /** Milliseconds for a token made, or for each millisecond that reading should take. */
    pace: number
    peers: number
    /** How many times its peers' time it takes while it is well. */
    build: number
    /** How many times slower than its own past, beside its peers. */
    slowness: number
    ageMs: number
    term: number
  }
  /** A running answer should go on at another engine, since its own turned slow or leaves. */
  'answer.moves': { request: string; entry: string; endpoint: string }
  /** How that ended at its entry. */
  'answer.moved': { request: string; from: string; to: string; outcome: string; tookMs: number }
  /** What an entry says of a running request cannot be. */
  'place.report-refused': { entry: string; request: string; reason: string }
  'place.alone': { request: string; reason: string }
  'place.decided': {
    request: string
    entry: string
    outcome: string
    reason: string
    promptTokens: number
    /** The regions that bound it, as its entry had them; absent where any would do. */
    regions?: readonly string[]
    /** The failure domain of its entry. */
    entryDomain?: string
    /** Tokens of its prompt that its reader or its decode engine should keep; absent where there are none. */
    keptTokens?: number
    targetMs: number
    /** Whether its caller had been sent away before. */
    isReturn: boolean
    waitedMs: number
    holds: number
    waiting: number
    /** What was believed of the engines: how many work, the one with the most room, the shortest reading queue. */
    engines: {
      decoders: number
      readers: number
      roomiest?: { endpoint: string; peak: number; running: number }
      soonest?: { endpoint: string; queuedMs: number }
      /** Cold engines, and those of them that get nothing now; absent where none is cold. */
      cold?: { engines: number; withheld: number }
    }
    /** Tokens that one engine can hold. */
    memory: number
    term: number
  }
  /** A request was about to leave for an endpoint that must not get it now. */
  'send.withheld': { request: string; endpoint: string; step: string; reason: string }
  /** A request showed no key that the sheet in force knows. */
  'key.refused': {
    request: string
    route: string
    reason: string
    /** The first digits of the key's digest; absent where there was no single key. */
    key?: string
    sheetVersion: number
    outcome: string
  }
  /** A request lies beyond its workspace's quota. */
  'quota.refused': {
    request: string
    workspace: string
    /** What it counts, and what this entry could still let through. */
    units: number
    level: number
    /** The age of what the leader said of it last; absent where it has said nothing. */
    ageMs?: number
    /** Whether this entry decided by itself, without the leader's word. */
    isAlone: boolean
    retryAfterMs: number
    sheetVersion: number
    waitedMs: number
  }
  /** The leader left a call unanswered, for the first time since it answered one. */
  'leader.unanswered': { peer: string; step: string; reason: string }
  'request.answered': {
    request: string
    route: string
    /** Whose key it showed. */
    workspace?: string
    status: number
    outcome: string
    tookMs: number
    firstEventMs?: number
    /** The longest time between two events of a stream. */
    longestPauseMs?: number
    /** The time that was left when the entry cut an answer that had begun. */
    cutWithLeftMs?: number
    sends: unknown[]
  }
  /** An answer that has begun was turned away, and waits to go on; one line until its next event. */
  'answer.waits': { request: string; reason: string; leftMs: number }
  /** An answer had ended here, and its connection was closed before its last bytes had left. */
  'answer.unsent': { request: string; bytes: number; by: 'entry' | 'caller' }
  'peer.connected': { peer: string; box: string }
  'peer.lost': { peer: string; reason: string }
  'peer.refused': { peer: string; reason: string }
  'fault.unexpected': ErrorBody
}

/** The name of a log event. */
export type LogEventName = keyof LogEvents
