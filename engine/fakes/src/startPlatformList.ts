import express from 'express'
import { listenOn, type RunningFake } from './listenOn'

/** The platform's word on boxes and endpoints. */
export interface PlatformMembers {
  live: string[]
  leaving: string[]
}

/** Starts the platform's list of live and leaving boxes; what `POST /members` sets shows after the lag. */
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
