import type { Clock } from '@forkstage/clock'
import type { RequestId } from '@forkstage/types'

/** One line of a request's story. */
export interface StoryLine {
  /** Wall-clock milliseconds. */
  at: number
  box: string
  step: string
  detail: Record<string, unknown>
}

/** Requests whose stories are kept, oldest out first. */
const MAX_STORIES = 5_000
const MAX_LINES = 64

/** Keeps what happened to the latest requests on this box, for `explain`. */
export class StoryBook {
  private readonly stories = new Map<RequestId, StoryLine[]>()

  constructor(
    private readonly box: string,
    private readonly clock: Clock,
  ) {}

  tell(request: RequestId, step: string, detail: Record<string, unknown> = {}): void {
    const story = this.stories.get(request) ?? []
    if (story.length === 0) this.add(request, story)
    if (story.length < MAX_LINES) story.push({ at: this.clock.wallNow(), box: this.box, step, detail })
  }

  read(request: RequestId): StoryLine[] {
    return this.stories.get(request) ?? []
  }

  /** The latest requests, newest first. */
  latest(limit: number): RequestId[] {
    return [...this.stories.keys()].slice(-limit).reverse()
  }

  private add(request: RequestId, story: StoryLine[]): void {
    this.stories.set(request, story)
    if (this.stories.size > MAX_STORIES) this.stories.delete(this.stories.keys().next().value!)
  }
}
