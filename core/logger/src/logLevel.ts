/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'
