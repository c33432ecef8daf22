import type { ProbeAnswer } from './endpointFromProbe'
import type { RegisteredEndpoint, Stage } from '@forkstage/directory'
import type { FetchOutcome } from '@forkstage/gateway'
import type { RoutedService, RouteSheet } from '@forkstage/routes'
import type { Address } from '@forkstage/types'

/** What an engine says of itself when it is asked. */
export interface EngineReport {
  stage?: Stage
  /** Orders it has taken since its start. */
  ordersTaken: number
  /** Whether an order is being carried out. */
  isBusy: boolean
  /** When its process started, where it says so. */
  born?: number
}

/** An order to an engine to change its part. */
export interface StageOrder {
  stage: Stage
  /** The machine that orders. */
  holder: string
  /** Rises with each holder; an engine refuses one lower than it has seen. */
  fence: number
  /** Orders that the engine must have taken by now, no more and no fewer. */
  expectedOrders: number
  /** What the engine calls itself. */
  instance: string
}

/** A call to an endpoint, ready to be sent. */
export interface EndpointCall {
  method: string
  path: string
  /** Names and values by turns. */
  rawHeaders: string[]
  body: Buffer
}

/** What operators and endpoints of a deployment call at a control machine: paths and formats. */
export interface ControlWire {
  /** Where a sheet is put and read. */
  sheetPath: string
  /** Where an endpoint registers and leaves; `:id` stands for the instance. */
  registrationPath: string
  /** Where an evacuation is begun (POST) and withdrawn (DELETE); `:domain` stands for the failure domain. */
  evacuationPath: string
  /** Where the evacuations that this machine knows are read. */
  evacuationsPath: string
  /** @returns undefined where no one can read the text whole. */
  readSheet(text: string): RouteSheet | undefined
  /** @returns undefined where the text says nothing of an endpoint. */
  readRegistration(id: string, text: string): RegisteredEndpoint | undefined
  /** When the process started that sent a farewell, where it says so. */
  readStart(text: string): number | undefined
  /** The answer to a registration; `nextAddress` where later ones should go. */
  registrationAnswer(nextAddress: Address | undefined): unknown
  reportCall(): EndpointCall
  /** @returns undefined where the body is no report. */
  readReport(body: Buffer): EngineReport | undefined
  stageOrderCall(order: StageOrder): EndpointCall
  /** Asks an endpoint that was known before this machine's start whether it takes work. */
  probeCall(endpoint: RegisteredEndpoint, service: RoutedService): EndpointCall
  /** What the answer to {@link probeCall} says. */
  readProbe(answer: Extract<FetchOutcome, { type: 'answer' }>): ProbeAnswer
}
