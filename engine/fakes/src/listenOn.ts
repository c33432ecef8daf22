import type { Server } from 'node:http'
import type { Express } from 'express'

/** A running fake. */
export interface RunningFake {
  stop(): Promise<void>
}

/** Listens on the loopback address; rejects when the port cannot be opened. */
export function listenOn(app: Express, port: number): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = app.listen(port, '127.0.0.1', () => resolve(server))
    server.on('error', reject)
  })
}
