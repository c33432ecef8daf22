import { ByteCollector } from '@forkstage/bytes'

/** One server-sent event: its bytes including the terminating blank line, and its id if it has one. */
export interface StreamEvent {
  bytes: Buffer
  id?: number
}

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const MAX_ID_LINE_BYTES = 64
/** Longest part of the end of an event that may lie before a piece: a line feed and a carriage return. */
const MAX_TAIL_BYTES = 2

/** Splits a byte stream into complete server-sent events and buffers an incomplete one. */
export class EventSplitter {
  private incomplete = new ByteCollector()
  /** The last bytes of the incomplete event. */
  private tail: Buffer = Buffer.alloc(0)

  /** The buffered bytes of an incomplete event. */
  get unfinished(): Buffer {
    return this.incomplete.toBuffer()
  }

  /** Number of buffered bytes. */
  get unfinishedBytes(): number {
    return this.incomplete.size
  }

  /** Appends bytes and returns the events that they complete. Only the new bytes are searched. */
  push(chunk: Buffer): StreamEvent[] {
    const { tail } = this
    const searched = tail.length === 0 ? chunk : Buffer.concat([tail, chunk])
    const events: StreamEvent[] = []
    let start = tail.length
    for (let end = endOfEvent(searched, 0); end > 0; end = endOfEvent(searched, start)) {
      const bytes = this.complete(searched.subarray(start, end))
      events.push({ bytes, id: readId(bytes) })
      start = end
    }
    this.incomplete.append(searched.subarray(start))
    this.tail = searched.subarray(Math.max(events.length > 0 ? start : 0, searched.length - MAX_TAIL_BYTES))
    return events
  }

  /** Returns the event that these bytes complete. */
  private complete(bytes: Buffer): Buffer {
    if (this.incomplete.size === 0) return bytes
    this.incomplete.append(bytes)
    const event = this.unfinished
    this.incomplete = new ByteCollector()
    return event
  }
}

/** Returns the position behind the first complete event in bytes that begins at `start`, or 0 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(LINE_FEED, start); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    const next = bytes[index + 1] === CARRIAGE_RETURN ? index + 2 : index + 1
    if (bytes[next] === LINE_FEED) return next + 1
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
