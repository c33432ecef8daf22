/** One server-sent event: its bytes including the terminating blank line, and its id if it has one. */
export interface StreamEvent {
  bytes: Buffer
  id?: number
}

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const MAX_ID_LINE_BYTES = 64

/** Splits a byte stream into complete server-sent events and buffers an incomplete one. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0)

  /** The buffered bytes of an incomplete event. */
  get unfinished(): Buffer {
    return this.pending
  }

  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    let bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk])
    const events: StreamEvent[] = []
    for (let end = endOfEvent(bytes); end > 0; end = endOfEvent(bytes)) {
      const event = bytes.subarray(0, end)
      events.push({ bytes: event, id: readId(event) })
      bytes = bytes.subarray(end)
    }
    this.pending = bytes
    return events
  }
}

/** Returns the length of the first complete event in bytes, or 0 if there is none. */
function endOfEvent(bytes: Buffer): number {
  let lineIsEmpty = false
  for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    const next = bytes[index + 1] === CARRIAGE_RETURN ? index + 2 : index + 1
    lineIsEmpty = bytes[next] === LINE_FEED
    if (lineIsEmpty) return next + 1
  }
  return 0
}

function readId(event: Buffer): number | undefined {
  for (const start of lineStarts(event)) {
    const line = event.subarray(start, start + MAX_ID_LINE_BYTES).toString('latin1')
    if (line.startsWith('id:')) return Number.parseInt(line.slice('id:'.length), 10)
  }
  return undefined
}

function* lineStarts(event: Buffer): Generator<number> {
  yield 0
  for (let index = event.indexOf(LINE_FEED); index >= 0; index = event.indexOf(LINE_FEED, index + 1)) {
    yield index + 1
  }
}
