import { connect, type Socket } from 'node:net'

/** A caller of one request on a raw connection, which sends the body as a test wants. */
export class BodySender {
  readonly socket: Socket
  /** All that was received. */
  received = ''
  private isClosed = false
  private waiting: (() => void)[] = []

  constructor(port: number, id: string, rows: string[]) {
    this.socket = connect(port, '127.0.0.1')
    this.socket.on('data', (bytes) => {
      this.received += bytes.toString('latin1')
      this.notify()
    })
    this.socket.on('error', () => undefined)
    this.socket.on('close', () => {
      this.isClosed = true
      this.notify()
    })
    const head = ['POST /p/x HTTP/1.1', 'Host: h.example', `x-id: ${id}`, ...rows, '', '']
    this.socket.write(head.join('\r\n'))
  }

  /** Status of the answer; 0 without one. */
  get status(): number {
    const last = this.received.split('HTTP/1.1 ').at(-1)
    return Number(last?.slice(0, 3) || 0)
  }

  /** Resolves once a text was received. */
  async waitFor(text: string): Promise<void> {
    while (!this.received.includes(text)) {
      if (this.isClosed) throw new Error(`closed after ${JSON.stringify(this.received)}`)
      await this.changed()
    }
  }

  async waitForClose(): Promise<void> {
    while (!this.isClosed) await this.changed()
  }

  private changed(): Promise<void> {
    return new Promise<void>((resolve) => this.waiting.push(resolve))
  }

  private notify(): void {
    for (const resume of this.waiting.splice(0)) resume()
  }
}
