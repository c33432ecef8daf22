import express from 'express'
import { listenOn, type RunningFake } from './listenOn'

/** Names of live and of leaving boxes, as the platform lists them. */
export interface PlatformMembers {
  live: string[]
  leaving: string[]
}

/** Starts a fake of the platform's list of boxes; a list set with `POST /members` is served after `lagMs`. */
export async function startPlatformList(options: { port: number; lagMs: number }): Promise<RunningFake> {
  let shown: PlatformMembers = { live: [], leaving: [] }
  const app = express()
  app.use(express.json())
  app.get('/members', (_request, response) => void response.json(shown))
  app.post('/members', (request, response) => {
    const next = request.body as PlatformMembers
    setTimeout(() => void (shown = next), options.lagMs)
    response.json({})
  })
  const server = await listenOn(app, options.port)
  const stop = async () => {
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  }
  return { stop }
}
