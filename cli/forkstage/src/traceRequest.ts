/** A parsed log line. */
export interface LogLine {
  /** Wall-clock milliseconds of the machine that wrote the line. */
  time: number
  box: string
  event: string
  fields: Record<string, unknown>
}

/** How long before a request other events that may explain it are shown, in milliseconds. */
const CONTEXT_MS = 3_000
/** Events without a request that may explain what happened to one. */
const CONTEXT_EVENTS = new Set([
  'endpoint.ejected',
  'endpoint.registered',
  'stage.ordered',
  'replica.role',
  'control.lost',
  'control.regained',
  'sheet.installed',
  'box.started',
  'box.stopping',
  'log.omitted',
])

/** Parses the JSON lines of logs; ignores other lines. */
export function readLogLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"context"')
    if (start < 0) return []
    try {
      const { context, time } = JSON.parse(line.slice(start)) as {
        context: Record<string, unknown>
        time: number
      }
      const { box, event, ...fields } = context
      delete fields.logLevel
      return [{ time, box: String(box), event: String(event), fields }]
    } catch {
      return []
    }
  })
}

/**
 * Returns the lines that explain a request, in order of time: its own ones, and other events of that time about the
 * endpoints that it was sent to and about the machines that handled it.
 */
export function traceRequest(lines: LogLine[], request: string): LogLine[] {
  const own = lines.filter((line) => line.fields.request === request)
  if (own.length === 0) return []
  const times = own.map((line) => line.time)
  const tookMs = Math.max(0, ...own.map((line) => Number(line.fields.tookMs ?? 0)))
  const [from, to] = [Math.min(...times) - tookMs - CONTEXT_MS, Math.max(...times)]
  const boxes = new Set(own.map((line) => line.box))
  const endpoints = new Set(own.flatMap(endpointsOf))
  const context = lines.filter((line) => {
    if (!CONTEXT_EVENTS.has(line.event) || line.time < from || line.time > to) return false
    const { endpoint } = line.fields
    return endpoint === undefined
      ? boxes.has(line.box)
      : endpoints.has(String(endpoint)) || line.event === 'stage.ordered'
  })
  return [...own, ...context, ...evacuationLines(lines, boxes, from, to)].sort(
    (left, right) => left.time - right.time,
  )
}

/** Returns the last evacuation state of each of the request's machines, however old, and the orders that caused it. */
function evacuationLines(lines: LogLine[], boxes: ReadonlySet<string>, from: number, to: number): LogLine[] {
  const inForce = [...boxes].flatMap((box) => {
    const changes = lines.filter(
      (line) => line.event === 'evacuation.in-force' && line.box === box && line.time <= to,
    )
    const last = changes.sort((left, right) => left.time - right.time).at(-1)
    return last !== undefined && (Number(last.fields.count) > 0 || last.time >= from) ? [last] : []
  })
  const indexes = new Set(inForce.map((line) => line.fields.index))
  const orders = lines.filter(
    ({ event, fields }) =>
      event === 'evacuation.taken' && fields.outcome === 'changed' && indexes.has(fields.index),
  )
  return [...orders, ...inForce]
}

function endpointsOf(line: LogLine): string[] {
  const sends = (line.fields.sends ?? []) as { to: string }[]
  const placed = String(line.fields.reason ?? '').match(/(?:prefill|decode) (\S+?)(?:,|$)/g) ?? []
  return [...sends.map((send) => send.to), ...placed.map((word) => word.replace(/^\w+ |,$/g, ''))]
}
