import type { ProbeAnswer } from './endpointFromProbe'
import type { RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { FetchedAnswer } from '@forkstage/gateway'
import type { RoutedService, RouteSheet } from '@forkstage/routes'
import type { Address } from '@forkstage/types'

/** The state that an engine reports on request. */
export interface EngineReport {
  stage?: Stage
  /** Number of orders the engine has accepted since its start. */
  ordersTaken: number
  /** Whether an order is being carried out. */
  isBusy: boolean
  /** When the engine's process started, if reported. */
  born?: number
}

/** An order to an engine to change its stage. */
export interface StageOrder {
  stage: Stage
  /** Name of the control machine that gives the order. */
  holder: string
  /** Fencing token, higher for each new holder; an engine refuses one lower than it has seen. */
  fence: number
  /** The exact number of orders the engine must have accepted before this one. */
  expectedOrders: number
  /** The engine's own name for itself. */
  instance: string
}

/** An HTTP call to an endpoint. */
export interface EndpointCall {
  method: string
  path: string
  /** Names and values in alternation. */
  rawHeaders: string[]
  body: Buffer
}

/** Paths and formats of the calls between a deployment's operators and endpoints and its control machines. */
export interface ControlWire {
  /** Path at which the route sheet is put and read. */
  sheetPath: string
  /** Path at which an endpoint registers and leaves; `:id` is the instance. */
  registrationPath: string
  /** Path at which an evacuation is begun (POST) and withdrawn (DELETE); `:domain` is the failure domain. */
  evacuationPath: string
  /** Path at which the evacuations known to this machine are read. */
  evacuationsPath: string
  /** Parses a route sheet. Returns undefined if the text is not a complete sheet. */
  readSheet(text: string): RouteSheet | undefined
  /** Returns why a text is not a complete route sheet, one message per fault, each with its field. */
  sheetFaults(text: string): string[]
  /** Parses a registration. Returns undefined if the text does not describe an endpoint. */
  readRegistration(id: string, text: string): RegisteredEndpoint | undefined
  /** Returns when the process started that announces it is leaving, or undefined if the text does not say. */
  readStart(text: string): number | undefined
  /** Returns the answer to a registration; `nextAddress` is where later registrations should go. */
  registrationAnswer(nextAddress: Address | undefined): unknown
  reportCall(): EndpointCall
  /** Parses an engine's report. Returns undefined if the body is not a report. */
  readReport(body: Buffer): EngineReport | undefined
  stageOrderCall(order: StageOrder): EndpointCall
  /** Returns the call that asks an endpoint saved before this machine's start whether it takes requests. */
  probeCall(endpoint: RegisteredEndpoint, service: RoutedService): EndpointCall
  /** Parses the answer to {@link probeCall}. */
  readProbe(answer: FetchedAnswer): ProbeAnswer
}
