import { readEndpoints, type RegisteredEndpoint } from '@forkstage/directory'
import { StateFile, type StateFileOptions } from './stateFile'

/** Options of {@link EndpointStore}. */
export interface EndpointStoreOptions extends Omit<StateFileOptions, 'file' | 'content'> {
  /** Endpoints that are known now. */
  endpoints: () => RegisteredEndpoint[]
}

const FILE_NAME = 'endpoints.json'

/**
 * Keeps on disk which endpoints take work, for a machine that starts again. What it recalls is only a hint of whom to
 * ask: an endpoint counts once it has said again that it takes work.
 */
export class EndpointStore {
  private readonly file: StateFile

  constructor(options: EndpointStoreOptions) {
    const content = () => ({ endpoints: options.endpoints().filter(({ state }) => state === 'ready') })
    this.file = new StateFile({ ...options, file: FILE_NAME, content })
  }

  /** What was kept last; nothing where there is no file or it cannot be read. */
  async load(): Promise<RegisteredEndpoint[]> {
    const saved = (await this.file.load()) as { endpoints?: unknown } | null | undefined
    return readEndpoints(saved?.endpoints)
  }

  /** Notes that endpoints have changed; they are written a moment later. */
  markChanged(): void {
    this.file.markChanged()
  }

  stop(): void {
    this.file.stop()
  }
}
