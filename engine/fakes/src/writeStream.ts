import type { Response } from 'express'
import type { EngineLine } from '@forkstage/engine-client'
import { answerToken } from './answerText'
import type { DecodeRun, EngineState } from './engineState'

/** Writes a run's lines from a token on, one JSON text a line, and follows it until it ends. */
export function writeStream(response: Response, run: DecodeRun, state: EngineState, from: number): void {
  response.setHeader('content-type', 'application/x-ndjson')
  response.flushHeaders()
  const { request, epoch } = run
  let sent = from
  let held: string | undefined
  const write = (line: EngineLine) => response.write(`${JSON.stringify(line)}\n`)
  const writeToken = (seq: number) => {
    const text = answerToken(run.order.seed, seq)
    const line = `${JSON.stringify({ type: 'token', request, epoch, seq, text })}\n`
    if (state.faults.swapFrames && seq % 2 === 0) return void (held = line)
    response.write(line)
    if (held !== undefined) response.write(held)
    held = undefined
    if (state.faults.doubleFrames) response.write(line)
  }
  const catchUp = () => {
    while (sent < run.produced) {
      writeToken(sent)
      sent += 1
      if (state.faults.cutStreamsAfter > 0 && sent - from >= state.faults.cutStreamsAfter)
        return response.destroy()
    }
    if (run.state !== 'finished' || sent < run.length) return
    if (held !== undefined) response.write(held)
    held = undefined
    write({
      type: 'end',
      request,
      epoch,
      seq: run.length,
      finish: run.length >= run.order.maxTokens ? 'length' : 'stop',
    })
    response.end()
  }
  run.listener = (event) => {
    if (event === 'transfer') return write({ type: 'transfer', moved: run.moved, total: run.order.kvBytes })
    if (event === 'fenced') return void response.end()
    catchUp()
  }
  catchUp()
}
