import type { RegisteredEndpoint } from '@forkstage/directory'
import type { PeerMethod } from '@forkstage/peer-rpc'
import type { RoutedService } from '@forkstage/routes'
import type { ControlWire } from './controlWire'
import { DepartureStore, type DepartureStoreOptions } from './departureStore'
import { EndpointStore } from './endpointStore'
import { probeSavedEndpoints } from './probeSavedEndpoints'

/** Options of {@link SavedEndpoints}. */
export interface SavedEndpointsOptions extends DepartureStoreOptions {
  wire: ControlWire
  /** Returns a service of the route sheet in force. */
  service: (name: string) => RoutedService | undefined
}

/** What a control machine keeps of the directory on disk: ready endpoints, and departures. */
export class SavedEndpoints {
  private readonly ready: EndpointStore
  private readonly departures: DepartureStore

  constructor(private readonly options: SavedEndpointsOptions) {
    this.ready = new EndpointStore({ ...options, endpoints: () => options.directory.list() })
    this.departures = new DepartureStore(options)
  }

  /** Returns the methods that other control machines call here. */
  methods(): Record<string, PeerMethod> {
    return this.departures.methods()
  }

  /** Merges the departures and probes the ready endpoints that were saved before this start. */
  async recall(): Promise<void> {
    const { directory, merge } = this.options
    await this.departures.load()
    await probeSavedEndpoints(await this.ready.load(), {
      ...this.options,
      isKnown: (id) => directory.get(id) !== undefined,
      onReady: (endpoint) => merge([endpoint]),
    })
  }

  /** Resolves to whether a majority of the control machines has a departure on disk. */
  persistDeparture(departed: RegisteredEndpoint): Promise<boolean> {
    return this.departures.persist(departed)
  }

  /** Saves changed endpoints after a while. */
  update(changed: RegisteredEndpoint[]): void {
    this.ready.markChanged()
    if (changed.some(({ state }) => state !== 'ready')) this.departures.markChanged()
  }

  stop(): void {
    this.ready.stop()
    this.departures.stop()
  }
}
