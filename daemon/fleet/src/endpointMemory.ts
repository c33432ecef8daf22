import { readEndpoints, type RegisteredEndpoint } from '@forkstage/directory'
import { KeptFile, type KeptFileOptions } from './keptFile'

/** Options of {@link EndpointMemory}. */
export interface EndpointMemoryOptions extends Omit<KeptFileOptions, 'file' | 'content'> {
  /** Endpoints that are known now. */
  endpoints: () => RegisteredEndpoint[]
}

const FILE = 'endpoints.json'

/**
 * Keeps on disk which endpoints take work, for a machine that starts again. What it recalls is only a hint of whom to
 * ask: an endpoint counts once it has said again that it takes work.
 */
export class EndpointMemory {
  private readonly file: KeptFile

  constructor(options: EndpointMemoryOptions) {
    const content = () => ({ endpoints: options.endpoints().filter(({ state }) => state === 'ready') })
    this.file = new KeptFile({ ...options, file: FILE, content })
  }

  /** What was kept last; nothing where there is no file or it cannot be read. */
  async recall(): Promise<RegisteredEndpoint[]> {
    const kept = (await this.file.recall()) as { endpoints?: unknown } | null | undefined
    return readEndpoints(kept?.endpoints)
  }

  /** Notes that endpoints have changed; they are written a moment later. */
  noteChange(): void {
    this.file.noteChange()
  }

  stop(): void {
    this.file.stop()
  }
}
