import type { Random } from '@forkstage/clock'
import { sendChat, sendPlain, type BoxHandle, type ChatAnswer, type Deployment } from '@forkstage/deployment'
import { wait } from './faultInjector'

/** What callers received for one idempotency key. */
export interface KeyRecord {
  key: string
  /** Texts of the complete answers. */
  answers: string[]
  /** The execution that each try reported, or why there is none; event gaps too. */
  executions: string[]
  /** Ids of requests that were reported as not run. */
  notRun: string[]
  /** Whether the last try succeeded. */
  answered: boolean
}

const TRY_TIMEOUT_MS = 15_000
const MAX_TRIES = 12
const RETRY_DELAY_MS = 400

/** Callers that send requests with idempotency keys and retry at random boxes until they have an answer. */
export class SoakCallers {
  readonly chats: KeyRecord[] = []
  readonly saves: KeyRecord[] = []
  private count = 0

  constructor(
    private readonly deployment: Deployment,
    private readonly random: Random,
  ) {}

  /** Sends one chat; retries under its key resume after the last event received. */
  async chat(): Promise<void> {
    const record = this.addRecord('chat', this.chats)
    const tokens = 3 + Math.floor(this.random() * 60)
    const prompt = `${'valve gate seal reading '.repeat(100)} ${record.key} [[answer=${tokens}]]`
    let text = ''
    let lastId = 0
    for (let tries = 0; tries < MAX_TRIES && !record.answered; tries += 1) {
      const onToken = (token: string, id: number) => {
        if (id !== lastId + 1) record.executions.push(`event ${id} after ${lastId}`)
        text += token
        lastId = id
      }
      const headers = { 'idempotency-key': record.key, 'last-event-id': String(lastId) }
      const answer = await this.tryOnce((signal) =>
        sendChat(this.drawBox(), {
          model: this.deployment.options.site.model,
          prompt,
          maxTokens: 100,
          headers,
          signal,
          onToken,
        }),
      )
      this.recordExecution(record, answer)
      if (answer?.whole) record.answers.push(text)
      record.answered = answer?.whole ?? false
      if (!record.answered) await wait(RETRY_DELAY_MS)
    }
    if (record.answered) await this.repeatChat(record, prompt)
  }

  /** Sends one save, again after every answer but `ran`, at most three times; the record keeps every outcome. */
  async save(): Promise<void> {
    const record = this.addRecord('save', this.saves)
    const path = `/${this.deployment.options.site.plainService}/saves/${record.key}`
    for (let tries = 0; tries < 3 && !record.answered; tries += 1) {
      const headers = { 'idempotency-key': record.key }
      const answer = await this.tryOnce(() =>
        sendPlain(this.drawBox(), path, { method: 'POST', body: 'known', headers }),
      )
      record.executions.push(answer?.execution ?? 'no answer')
      record.answered = answer?.execution === 'ran'
      if (!record.answered) await wait(RETRY_DELAY_MS)
    }
  }

  private addRecord(kind: string, list: KeyRecord[]): KeyRecord {
    this.count += 1
    const record: KeyRecord = {
      key: `${kind}-${this.count}`,
      answers: [],
      executions: [],
      notRun: [],
      answered: false,
    }
    list.push(record)
    return record
  }

  private recordExecution(record: KeyRecord, answer: ChatAnswer | undefined): void {
    record.executions.push(answer?.execution ?? 'no answer')
    if (answer?.execution === 'not-run' && answer.request !== '') record.notRun.push(answer.request)
  }

  /** Repeats a share of the answered chats under their key, so that the check can compare the answers. */
  private async repeatChat(record: KeyRecord, prompt: string): Promise<void> {
    if (this.random() > 0.2) return
    const headers = { 'idempotency-key': record.key }
    const again = await this.tryOnce((signal) =>
      sendChat(this.drawBox(), {
        model: this.deployment.options.site.model,
        prompt,
        maxTokens: 100,
        headers,
        signal,
      }),
    )
    if (again?.whole) record.answers.push(again.text)
  }

  private async tryOnce<Answer>(send: (signal: AbortSignal) => Promise<Answer>): Promise<Answer | undefined> {
    const abort = new AbortController()
    const timer = setTimeout(() => abort.abort(), TRY_TIMEOUT_MS)
    const timeout = wait(TRY_TIMEOUT_MS).then(() => undefined)
    try {
      return await Promise.race([send(abort.signal), timeout])
    } catch {
      return undefined
    } finally {
      clearTimeout(timer)
    }
  }

  private drawBox(): BoxHandle {
    const { boxes } = this.deployment
    return boxes[Math.floor(this.random() * boxes.length)]!
  }
}
