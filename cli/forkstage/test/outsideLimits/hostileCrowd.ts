import { connect, type Socket } from 'node:net'
import { WAITS } from './bounds'
import type { HostileBytes } from './hostileKinds'

/** Clients outside the limits; their connections stay open until {@link HostileCrowd.end}. */
export class HostileCrowd {
  private readonly sockets: Socket[] = []
  private isOver = false

  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {}

  /** Has a client for each of these send its bytes. Resolves once each has sent all, was closed or is held up. */
  async play(clients: HostileBytes[]): Promise<void> {
    const timer = setTimeout(() => (this.isOver = true), WAITS.playMs)
    await Promise.all(clients.map((bytes) => this.send(bytes)))
    clearTimeout(timer)
  }

  /** Opens connections that rest after one request. Resolves once each has got its answer, was closed or waits in vain. */
  async openResting(count: number, { head }: HostileBytes): Promise<void> {
    const opened = Array.from({ length: count }, () => {
      const socket = this.open()
      socket.write(head)
      return settled(socket, 'data')
    })
    await Promise.all(opened)
  }

  end(): void {
    this.isOver = true
    this.sockets.forEach((socket) => socket.destroy())
  }

  private open(): Socket {
    const socket = connect(this.port, this.host)
    socket.on('error', () => undefined)
    this.sockets.push(socket)
    return socket
  }

  private async send({ head, piece, times = 0, reads = true }: HostileBytes): Promise<void> {
    const socket = this.open()
    if (reads) socket.resume()
    let isTaken = socket.write(head)
    for (let sent = 0; sent < times && piece !== undefined; sent += 1) {
      while (!isTaken) {
        const before = socket.bytesWritten - socket.writableLength
        await settled(socket, 'drain')
        if (socket.destroyed || this.isOver) return
        if (socket.bytesWritten - socket.writableLength === before) return
        isTaken = !socket.writableNeedDrain
      }
      if (socket.destroyed || this.isOver) return
      isTaken = socket.write(piece)
    }
  }
}

/** Resolves at an event, once the socket is closed, or after the time in which a client counts as held up. */
function settled(socket: Socket, event: string): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(timer)
      socket.off(event, end)
      socket.off('close', end)
      resolve()
    }
    const timer = setTimeout(end, WAITS.stalledMs)
    socket.once(event, end)
    socket.once('close', end)
  })
}
