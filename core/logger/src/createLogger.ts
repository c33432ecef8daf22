import './enableRoarr'
import { ROARR, Roarr } from 'roarr'
import type { LogLimiter } from './logLimiter'
import type { LogEventName, LogEvents } from './logEvents'
import type { LogLevel } from './logLevel'

/** Writes typed log events. */
export interface Logger {
  debug<Name extends LogEventName>(event: Name, fields: LogEvents[Name]): void
  info<Name extends LogEventName>(event: Name, fields: LogEvents[Name]): void
  warn<Name extends LogEventName>(event: Name, fields: LogEvents[Name]): void
  error<Name extends LogEventName>(event: Name, fields: LogEvents[Name]): void
}

/** Options of {@link createLogger}. */
export interface CreateLoggerOptions {
  /** Added to every line, for example the box's name. */
  context: Record<string, string>
  /** Lines below this level are not written. */
  level: LogLevel
  /** Receives each line without its line end; standard output if absent. */
  write?: (line: string) => void
  /** Decides which lines are written; if absent, all are. */
  limiter?: LogLimiter
}

const LEVELS: LogLevel[] = ['debug', 'info', 'warn', 'error']

/** Creates a logger that writes one JSON line per event. */
export function createLogger(options: CreateLoggerOptions): Logger {
  const write = options.write ?? ((line: string) => void process.stdout.write(`${line}\n`))
  ROARR.write = write
  const roarr = Roarr.child({ ...options.context })
  const minLevel = LEVELS.indexOf(options.level)
  const at = (level: LogLevel) => {
    if (LEVELS.indexOf(level) < minLevel) return () => undefined
    return <Name extends LogEventName>(event: Name, fields: LogEvents[Name]) => {
      if (options.limiter?.allow(event, level) === false) return
      const counts = options.limiter?.takeOmitted()
      if (counts !== undefined) roarr.warn({ event: 'log.omitted', counts } as never, 'log.omitted')
      roarr[level]({ event, ...(fields as object) } as never, event)
    }
  }
  return { debug: at('debug'), info: at('info'), warn: at('warn'), error: at('error') }
}

/** Creates a logger that writes nothing, for tests. */
export function createSilentLogger(): Logger {
  const nothing = () => undefined
  return { debug: nothing, info: nothing, warn: nothing, error: nothing }
}
