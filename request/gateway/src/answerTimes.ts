import type { Clock } from '@forkstage/clock'
import type { Millis } from '@forkstage/types'
import type { TokenCounts } from './gatewayWire'
import { RecentMaximum } from './recentMaximum'

/** Requests of one route whose declared token counts round up to the same powers of two. */
interface SizeClass {
  promptBits: number
  answerBits: number
  longest: RecentMaximum
  /** When the runs in progress began. */
  running: Set<{ beganAt: Millis }>
}

/** A run in progress. */
export interface TimedRun {
  /** Ends the run. Only a run whose endpoint answered with a success says how long answers take. */
  end(isSuccess: boolean): void
}

/** Answers count for this time, and for up to three times as long where others came after them. */
const RECENT_MS: Millis = 60_000

/** How long recent runs of each route took, by the size of their requests. */
export class AnswerTimes {
  private readonly routes = new Map<string, SizeClass[]>()
  private sweptAt: Millis = -Infinity

  constructor(private readonly clock: Clock) {}

  /** Records that an endpoint begins to run a request. */
  begin(route: string, tokens: TokenCounts | undefined): TimedRun {
    const size = this.sizeClass(route, tokens)
    const run = { beganAt: this.clock.now() }
    size.running.add(run)
    return {
      end: (isSuccess) => {
        if (!size.running.delete(run) || !isSuccess) return
        const now = this.clock.now()
        size.longest.record(now - run.beganAt, now)
      },
    }
  }

  /**
   * Returns the longest time that a run of a request may take, as recent runs and those in progress show it; undefined
   * where no recent request was at least as large. Requests without token counts count as the largest.
   */
  longestMs(route: string, tokens: TokenCounts | undefined): Millis | undefined {
    const [promptBits, answerBits] = bitsOf(tokens)
    const now = this.clock.now()
    let atMost: Millis = Infinity
    let atLeast: Millis = 0
    for (const size of this.routes.get(route) ?? []) {
      const longest = size.longest.valueAt(now)
      const isLarger = size.promptBits >= promptBits && size.answerBits >= answerBits
      const isSmaller = size.promptBits <= promptBits && size.answerBits <= answerBits
      if (isLarger && longest !== undefined) atMost = Math.min(atMost, longest)
      if (isSmaller) atLeast = Math.max(atLeast, longest ?? 0, longestInProgress(size, now))
    }
    return atMost === Infinity ? undefined : Math.max(atLeast, atMost)
  }

  private sizeClass(route: string, tokens: TokenCounts | undefined): SizeClass {
    this.sweep()
    const [promptBits, answerBits] = bitsOf(tokens)
    const sizes = this.routes.get(route) ?? []
    this.routes.set(route, sizes)
    const known = sizes.find((one) => one.promptBits === promptBits && one.answerBits === answerBits)
    if (known !== undefined) return known
    const size = { promptBits, answerBits, longest: new RecentMaximum(RECENT_MS), running: new Set<never>() }
    sizes.push(size)
    return size
  }

  /** Forgets sizes and routes without recent runs. */
  private sweep(): void {
    const now = this.clock.now()
    if (now - this.sweptAt < RECENT_MS) return
    this.sweptAt = now
    for (const [route, sizes] of this.routes) {
      const kept = sizes.filter(
        ({ running, longest }) => running.size > 0 || longest.valueAt(now) !== undefined,
      )
      if (kept.length > 0) this.routes.set(route, kept)
      else this.routes.delete(route)
    }
  }
}

/** Returns the powers of two that the counts of a request round up to. */
function bitsOf(tokens: TokenCounts | undefined): [prompt: number, answer: number] {
  if (tokens === undefined) return [Infinity, Infinity]
  return [Math.ceil(Math.log2(tokens.prompt + 1)), Math.ceil(Math.log2(tokens.most + 1))]
}

function longestInProgress({ running }: SizeClass, now: Millis): Millis {
  let longest = 0
  for (const { beganAt } of running) longest = Math.max(longest, now - beganAt)
  return longest
}
