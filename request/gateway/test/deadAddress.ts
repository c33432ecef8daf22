import { createServer as createTcp } from 'node:net'

/** Returns an address where no server listens. */
export async function deadAddress(): Promise<string> {
  const server = createTcp()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  await new Promise<void>((resolve) => server.close(() => resolve()))
  return `127.0.0.1:${port}`
}
