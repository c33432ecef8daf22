import type { RegisteredEndpoint } from '@forkstage/directory'
import type { RouteSheet } from '@forkstage/routes'
import type { Address } from '@forkstage/types'

/** What operators and endpoints of a deployment call at a control machine: paths and formats. */
export interface ControlWire {
  /** Where a sheet is put and read. */
  sheetPath: string
  /** Where an endpoint registers and leaves; `:id` stands for the instance. */
  registrationPath: string
  /** @returns undefined where no one can read the text whole. */
  readSheet(text: string): RouteSheet | undefined
  /** @returns undefined where the text says nothing of an endpoint. */
  readRegistration(id: string, text: string): RegisteredEndpoint | undefined
  /** The answer to a registration; `nextAddress` where later ones should go. */
  registrationAnswer(nextAddress: Address | undefined): unknown
}
