import express, { type Express, type Request, type RequestHandler, type Response } from 'express'
import type { Clock } from '@forkstage/clock'
import { toErrorBody } from '@forkstage/error'
import { isDomainName, type EvacuationView } from '@forkstage/evacuation'
import { answerErrorsAsJson } from '@forkstage/json-errors'
import type { Logger } from '@forkstage/logger'
import { checkRouteSheet } from '@forkstage/routes'
import { BodyAdmission } from './bodyAdmission'
import type { ControlWire } from './controlWire'
import type { EvacuationService } from './evacuationService'
import { receiveEvacuationOrder } from './receiveEvacuationOrder'
import type { Registrar } from './registrar'
import type { SheetService } from './sheetService'

/** Options of {@link createControlApp}. */
export interface ControlAppOptions {
  wire: ControlWire
  sheetService: SheetService
  evacuations: EvacuationService
  /** The evacuations known to this machine. */
  evacuationView: EvacuationView
  registrar: Registrar
  clock: Clock
  logger: Logger
}

const MIB = 1_024 * 1_024
/** A sheet of 11,000 routes is about 2.5 MB. */
const MAX_SHEET_BYTES = 8 * MIB
const MAX_MESSAGE_BYTES = 64 * 1_024
/** Parsing a sheet takes several times its size of the heap. */
const MAX_TOTAL_SHEET_BYTES = 24 * MIB

/** Creates the HTTP application that operators and endpoints call at a control machine. */
export function createControlApp(options: ControlAppOptions): Express {
  const { wire, clock, logger } = options
  const app = express()
  app.disable('x-powered-by')
  app.disable('etag')
  const sheets = new BodyAdmission({ maxTotalBytes: MAX_TOTAL_SHEET_BYTES, clock, logger }).upTo(
    MAX_SHEET_BYTES,
  )
  app.put(wire.sheetPath, sheets, textOf(MAX_SHEET_BYTES), (request, response) =>
    putSheet(options, request, response),
  )
  // Endpoints register by these, also while large sheets are in progress.
  app.use(textOf(MAX_MESSAGE_BYTES))
  app.get(wire.sheetPath, (_request, response) => getSheet(options, response))
  app.put(wire.registrationPath, (request, response) => register(options, request, response))
  app.delete(wire.registrationPath, (request, response) => leave(options, request, response))
  app.post(wire.evacuationPath, (request, response) => evacuate(options, request, response, true))
  app.delete(wire.evacuationPath, (request, response) => evacuate(options, request, response, false))
  app.get(wire.evacuationsPath, (_request, response) => void response.json(options.evacuationView.current))
  answerErrorsAsJson(app, { onUnexpected: (error) => logger.error('fault.unexpected', error) })
  return app
}

/** Reads a body of any type as text, up to `limit` bytes. */
function textOf(limit: number): RequestHandler {
  return express.text({ type: () => true, limit })
}

async function putSheet(options: ControlAppOptions, request: Request, response: Response): Promise<void> {
  const { wire, sheetService, logger } = options
  const text = bodyOf(request)
  const shapeFaults = wire.sheetFaults(text)
  const sheet = shapeFaults.length === 0 ? wire.readSheet(text) : undefined
  const faults = sheet === undefined ? shapeFaults : checkRouteSheet(sheet)
  if (sheet === undefined || faults.length > 0) {
    logger.warn('sheet.refused', { reason: faults.join('; ') })
    response.status(400).json({ code: 'FORKSTAGE_ROUTE_SHEET', faults })
    return
  }
  try {
    const result = await sheetService.put({ version: sheet.version, text })
    response.status(200).json(result)
  } catch (error) {
    answerUnavailable(response, error)
  }
}

async function getSheet(options: ControlAppOptions, response: Response): Promise<void> {
  try {
    const document = await options.sheetService.newest()
    if (document === undefined) return void response.status(503).json({ code: 'FORKSTAGE_NO_SHEET' })
    response.status(200).type('application/json').send(document.text)
  } catch (error) {
    answerUnavailable(response, error)
  }
}

async function evacuate(
  { evacuations, clock, logger }: ControlAppOptions,
  request: Request,
  response: Response,
  isEvacuated: boolean,
): Promise<void> {
  const domain = String(request.params.domain)
  if (!isDomainName(domain)) {
    logger.warn('evacuation.refused', { reason: 'not the name of a failure domain' })
    return void response.status(400).json({ code: 'FORKSTAGE_DOMAIN_NAME' })
  }
  try {
    const isWaitedFor = () => !response.destroyed
    const order = { domain, isEvacuated, isWaitedFor }
    response.status(200).json(await receiveEvacuationOrder(evacuations, clock, order))
  } catch (error) {
    answerUnavailable(response, error)
  }
}

async function register(options: ControlAppOptions, request: Request, response: Response): Promise<void> {
  const { wire, registrar } = options
  const [name, text] = [String(request.params.id), bodyOf(request)]
  const endpoint = wire.readRegistration(name, text)
  if (endpoint === undefined) {
    registrar.recordRefused(name, text.length)
    const message = 'A required field is missing or has the wrong type.'
    return void response.status(400).json({ code: 'FORKSTAGE_REGISTRATION', message })
  }
  answerRegistration(options, response, await registrar.register(endpoint))
}

async function leave(options: ControlAppOptions, request: Request, response: Response): Promise<void> {
  answerRegistration(
    options,
    response,
    await options.registrar.leave(String(request.params.id), options.wire.readStart(bodyOf(request))),
  )
}

function answerRegistration({ wire }: ControlAppOptions, response: Response, isAcknowledged: boolean): void {
  // A stop has answered the request already.
  if (response.headersSent) return
  if (isAcknowledged) response.status(200).json(wire.registrationAnswer(undefined))
  else response.status(503).json({ code: 'FORKSTAGE_CUT_OFF' })
}

function answerUnavailable(response: Response, error: unknown): void {
  // A stop has answered the request already.
  if (response.headersSent) return
  response.status(503).json(toErrorBody(error))
}

function bodyOf(request: Request): string {
  return typeof request.body === 'string' ? request.body : ''
}
