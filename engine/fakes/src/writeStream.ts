import type { Response } from 'express'
import type { EngineLine } from '@forkstage/engine-client'
import { answerToken } from './answerText'
import type { DecodeRun, EngineState } from './engineState'

/** Writes a run's lines as NDJSON from token `from` on, and those that follow until the run ends. */
export function writeStream(response: Response, run: DecodeRun, state: EngineState, from: number): void {
  response.setHeader('content-type', 'application/x-ndjson')
  response.flushHeaders()
  const { request, epoch } = run
  let nextSeq = from
  let heldLine: string | undefined
  const write = (line: EngineLine) => response.write(`${JSON.stringify(line)}\n`)
  const writeToken = (seq: number) => {
    const text = answerToken(run.params.seed, seq)
    const line = `${JSON.stringify({ type: 'token', request, epoch, seq, text })}\n`
    if (state.faults.swapFrames && seq % 2 === 0) return void (heldLine = line)
    response.write(line)
    if (heldLine !== undefined) response.write(heldLine)
    heldLine = undefined
    if (state.faults.doubleFrames) response.write(line)
  }
  const writeProduced = () => {
    while (nextSeq < run.producedTokens) {
      writeToken(nextSeq)
      nextSeq += 1
      if (state.faults.cutStreamsAfter > 0 && nextSeq - from >= state.faults.cutStreamsAfter)
        return response.destroy()
    }
    if (run.state !== 'finished' || nextSeq < run.answerTokens) return
    if (heldLine !== undefined) response.write(heldLine)
    heldLine = undefined
    write({
      type: 'end',
      request,
      epoch,
      seq: run.answerTokens,
      finish: run.answerTokens >= run.params.maxTokens ? 'length' : 'stop',
    })
    response.end()
  }
  run.listener = (event) => {
    if (event === 'transfer')
      return write({ type: 'transfer', moved: run.movedBytes, total: run.params.kvBytes })
    if (event === 'fenced') return void response.end()
    writeProduced()
  }
  writeProduced()
}
