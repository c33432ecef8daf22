import { connect, type Socket } from 'node:net'

/** A request as it goes over the wire. */
export interface WireRequest {
  method: string
  path: string
  body?: string
}

/** What a caller saw of one request that it sent in full. */
export interface SeenAnswer<Request extends WireRequest = WireRequest> {
  request: Request
  /** The status of a complete answer; undefined where the connection ended without one. */
  status?: number
  head: string
  /** Whether the request went out on a connection that had brought an answer before. */
  isKept: boolean
}

const UNAVAILABLE = 503
const HEAD_END = '\r\n\r\n'

/** What a caller does after an answer: nothing more, or one more request on a new or on the same connection. */
export type CallerHabit = 'once' | 'reconnect' | 'keep'

/** A caller on raw connections, which knows of each request whether it was sent in full and answered in full. */
export class StopCaller<Request extends WireRequest> {
  readonly seen: SeenAnswer<Request>[] = []

  /** @param next returns the next request. */
  constructor(
    private readonly address: { host: string; port: number },
    private readonly next: () => Request,
    private readonly habit: CallerHabit,
  ) {}

  /** Sends its requests, until a connection is refused or an answer says to go on to another machine. */
  async run(): Promise<void> {
    do {
      const socket = await open(this.address)
      if (socket === undefined) return
      let answered = 0
      while (await this.exchange(socket, answered > 0)) answered += 1
      socket.destroy()
    } while (this.habit !== 'once' && !this.isSentElsewhere)
  }

  private get isSentElsewhere(): boolean {
    const last = this.seen.at(-1)
    return last?.status === UNAVAILABLE && /\r\nretry-after: /i.test(last.head)
  }

  /** Sends one request. Resolves to whether the connection may bring another one. */
  private async exchange(socket: Socket, isKept: boolean): Promise<boolean> {
    if (socket.destroyed || socket.readableEnded) return false
    const request = this.next()
    const body = request.body ?? ''
    const head = `${request.method} ${request.path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${Buffer.byteLength(body)}`
    socket.write(`${head}${HEAD_END}${body}`)
    const answer = await readAnswer(socket)
    this.seen.push({ request, isKept, ...answer })
    return this.habit === 'keep' && answer.status !== undefined && !/\r\nconnection: close/i.test(answer.head)
  }
}

/** Resolves to an open connection, or to undefined if it is refused or reset before anything was sent. */
function open({ host, port }: { host: string; port: number }): Promise<Socket | undefined> {
  return new Promise((resolve) => {
    const socket = connect(port, host, () => resolve(socket))
    socket.on('error', () => resolve(undefined))
  })
}

/** Reads one answer with a length. */
function readAnswer(socket: Socket): Promise<{ status?: number; head: string }> {
  return new Promise((resolve) => {
    let text = ''
    const finish = (status?: number) => {
      socket.off('data', onData)
      socket.off('end', onEnd)
      socket.off('close', onEnd)
      resolve({ status, head: text.split(HEAD_END)[0]! })
    }
    const onData = (bytes: Buffer) => {
      text += bytes.toString('latin1')
      if (isComplete(text)) finish(Number(text.slice(9, 12)))
    }
    const onEnd = () => finish()
    socket.on('data', onData)
    socket.on('end', onEnd)
    socket.on('close', onEnd)
  })
}

function isComplete(text: string): boolean {
  const headEnd = text.indexOf(HEAD_END)
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1]
  return headEnd >= 0 && length !== undefined && text.length >= headEnd + HEAD_END.length + Number(length)
}
