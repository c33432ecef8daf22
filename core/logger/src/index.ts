/** Typed log events as JSON lines. */
export { createLogger, createSilentLogger } from './createLogger'
export type { CreateLoggerOptions, Logger } from './createLogger'
export type { LogLevel } from './logLevel'
export type { LogEventName, LogEvents } from './logEvents'
export { LogLimiter } from './logLimiter'
export type { LogLimiterOptions } from './logLimiter'
