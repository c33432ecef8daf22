import type { Random } from '@forkstage/clock'

/** How long an engine keeps a KV cache that is not consumed: `handle_ttl_s` of the sheet. */
export const HANDLE_TTL_MS = 500
/** Retained runs are kept this many times longer than stated. */
const RETENTION_FACTOR = 3

/** A KV cache that engines keep under a handle. */
interface RetainedKv {
  /** The stopped run and the engines that have its cache; undefined for a prefilled prompt, which any engine may fetch. */
  run?: { request: string; addresses: string[]; since: number }
}

/** The KV caches that all stand-in engines retain, by handle. */
export class RetainedKvStore {
  private readonly retained = new Map<string, RetainedKv>()
  /** Ids of requests whose retained run was not resumed within the stated time. */
  readonly expiredRuns = new Set<string>()

  constructor(private readonly random: Random) {}

  /** Retains a prefilled prompt; returns its handle. */
  retainPrompt(): string {
    return this.retain({}, HANDLE_TTL_MS)
  }

  /** Retains a run at the given engines and restarts its retention; returns its handle, a new one unless given. */
  retainRun(request: string, addresses: string[], handle?: string): string {
    return this.retain(
      { run: { request, addresses, since: Date.now() } },
      HANDLE_TTL_MS * RETENTION_FACTOR,
      handle,
    )
  }

  /** Removes the KV cache from which a request resumes at an engine; returns its kind, undefined when the engine has none. */
  consume(handle: string, request: string, address: string): 'prompt' | 'run' | undefined {
    const kv = this.retained.get(handle)
    if (kv === undefined) return undefined
    const { run } = kv
    if (run !== undefined && (run.request !== request || !run.addresses.includes(address))) return undefined
    this.retained.delete(handle)
    return run === undefined ? 'prompt' : 'run'
  }

  /** Drops a KV cache before its retention ends. */
  release(handle: string): void {
    const run = this.retained.get(handle)?.run
    this.retained.delete(handle)
    // A run released after the stated time counts as expired: entries need not resume it any longer.
    if (run !== undefined && Date.now() - run.since >= HANDLE_TTL_MS) this.expiredRuns.add(run.request)
  }

  private retain(kv: RetainedKv, forMs: number, handle = this.newHandle()): string {
    this.retained.set(handle, kv)
    setTimeout(() => this.expire(handle, kv), forMs).unref()
    return handle
  }

  private expire(handle: string, kv: RetainedKv): void {
    if (this.retained.get(handle) !== kv) return
    this.retained.delete(handle)
    if (kv.run !== undefined) this.expiredRuns.add(kv.run.request)
  }

  private newHandle(): string {
    return Math.floor(this.random() * 1e12).toString(16)
  }
}
