import type { Server } from 'node:http'
import type { Express } from 'express'

/** A stand-in that runs until it is stopped. */
export interface RunningFake {
  stop(): Promise<void>
}

/** Listens on the loopback address. */
export function listenOn(app: Express, port: number): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = app.listen(port, '127.0.0.1', () => resolve(server))
    server.on('error', reject)
  })
}
