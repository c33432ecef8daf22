import { sendChat, type BoxHandle, type ChatAnswer } from '@forkstage/deployment'
import type { PlannedRequest } from './mixes'

/** Outcome of one planned request. */
export interface Sample extends PlannedRequest {
  status: number
  whole: boolean
  execution: string
  ttftMs?: number
  tbtMs?: number
  tokens: number
}

/** Options of {@link sendPlanned}. */
export interface SendPlannedOptions {
  model: string
  /** Returns the boxes among which a load balancer would choose; called for each request. */
  boxes: () => Pick<BoxHandle, 'callers'>[]
  ttftTarget?: number
}

const CLIENT_TIMEOUT_MS = 20_000

/** Sends requests at their planned times, whether or not earlier ones have been answered (open loop). */
export async function sendPlanned(plan: PlannedRequest[], options: SendPlannedOptions): Promise<Sample[]> {
  const started = performance.now()
  const sending = plan.map(async (planned, index) => {
    const wait = planned.at - (performance.now() - started)
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    const boxes = options.boxes()
    return sendOne(planned, boxes[index % boxes.length]!, options.model)
  })
  return Promise.all(sending)
}

async function sendOne(
  planned: PlannedRequest,
  box: Pick<BoxHandle, 'callers'>,
  model: string,
): Promise<Sample> {
  const abort = new AbortController()
  const timer = setTimeout(() => abort.abort(), CLIENT_TIMEOUT_MS)
  const headers = { 'x-forkstage-class': planned.className, 'x-forkstage-workspace': planned.workspace }
  try {
    const answer = await sendChat(box, {
      model,
      prompt: planned.prompt,
      maxTokens: planned.answerTokens + 1,
      headers,
      signal: abort.signal,
    })
    return toSample(planned, answer)
  } catch {
    return { ...planned, prompt: '', status: 0, whole: false, execution: 'unknown', tokens: 0 }
  } finally {
    clearTimeout(timer)
  }
}

function toSample(planned: PlannedRequest, answer: ChatAnswer): Sample {
  const { status, whole, execution, ttftMs, tbtMs, tokens } = answer
  return { ...planned, prompt: '', status, whole, execution, ttftMs, tbtMs, tokens }
}
