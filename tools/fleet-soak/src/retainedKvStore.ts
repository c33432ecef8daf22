import type { Random } from '@forkstage/clock'

/** How long the sheet says that an engine keeps what nobody takes. */
export const HANDLE_TTL_MS = 500
/** What was copied is kept for well over that. */
const RETENTION_FACTOR = 3

/** What an engine keeps under a handle. */
interface RetainedKv {
  /** The run that was stopped; absent for a prompt that was read, which any engine may fetch. */
  run?: { request: string; addresses: string[]; since: number }
}

/** The memories of all stand-in engines, by handle. */
export class RetainedKvStore {
  private readonly retained = new Map<string, RetainedKv>()
  /** Stopped runs whose memory no engine has taken in the time that the sheet says it is kept. */
  readonly expiredRuns = new Set<string>()

  constructor(private readonly random: Random) {}

  /** Keeps a prompt that was read; returns its handle. */
  retainPrompt(): string {
    return this.retain({}, HANDLE_TTL_MS)
  }

  /** Keeps the memory of a run at engines, under the handle that it has already where it has one. */
  retainRun(request: string, addresses: string[], handle?: string): string {
    return this.retain(
      { run: { request, addresses, since: Date.now() } },
      HANDLE_TTL_MS * RETENTION_FACTOR,
      handle,
    )
  }

  /** Takes what a request goes on from at an engine; undefined where it is not there. */
  consume(handle: string, request: string, address: string): 'prompt' | 'run' | undefined {
    const kv = this.retained.get(handle)
    if (kv === undefined) return undefined
    const { run } = kv
    if (run !== undefined && (run.request !== request || !run.addresses.includes(address))) return undefined
    this.retained.delete(handle)
    return run === undefined ? 'prompt' : 'run'
  }

  release(handle: string): void {
    const run = this.retained.get(handle)?.run
    this.retained.delete(handle)
    // Nobody need ask for it longer than the sheet says that it is kept.
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
