/** How urgent a line is. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'
