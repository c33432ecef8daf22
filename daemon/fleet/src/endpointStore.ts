import { readEndpoints, type RegisteredEndpoint } from '@forkstage/directory'
import { StateFile, type StateFileOptions } from './stateFile'

/** Options of {@link EndpointStore}. */
export interface EndpointStoreOptions extends Omit<StateFileOptions, 'file' | 'content'> {
  /** Returns the endpoints known now. */
  endpoints: () => RegisteredEndpoint[]
}

const FILE_NAME = 'endpoints.json'

/**
 * Saves the ready endpoints on disk for a restart of the machine. Loaded endpoints are only candidates to probe: each must
 * confirm that it still takes requests.
 */
export class EndpointStore {
  private readonly file: StateFile

  constructor(options: EndpointStoreOptions) {
    const content = () => ({ endpoints: options.endpoints().filter(({ state }) => state === 'ready') })
    this.file = new StateFile({ ...options, file: FILE_NAME, content })
  }

  /** Returns the endpoints saved last, or none if there is no readable file. */
  async load(): Promise<RegisteredEndpoint[]> {
    const saved = (await this.file.load()) as { endpoints?: unknown } | null | undefined
    return readEndpoints(saved?.endpoints)
  }

  /** Schedules a write of the changed endpoints. */
  markChanged(): void {
    this.file.markChanged()
  }

  stop(): void {
    this.file.stop()
  }
}
