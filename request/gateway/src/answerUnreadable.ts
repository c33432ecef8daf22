import { STATUS_CODES, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { lingeringClose } from '@forkstage/answers'
import type { Clock } from '@forkstage/clock'

/** Options of {@link answerUnreadable}. */
export interface AnswerUnreadableOptions {
  clock: Clock
  /** The response in progress on the connection. */
  current: ServerResponse | undefined
}

const BAD_REQUEST = 400
const STATUS_BY_CODE: Partial<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
}

/** Answers bytes that form no request, or a request whose head does not arrive in time, and ends their connection. */
export function answerUnreadable(
  error: NodeJS.ErrnoException,
  socket: Socket,
  { clock, current }: AnswerUnreadableOptions,
): void {
  // Bytes after the head of an answer would become part of it.
  if (!socket.writable || current?.headersSent === true) return void socket.destroy()
  const status = STATUS_BY_CODE[error.code ?? ''] ?? BAD_REQUEST
  socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  // A request that was read in full is in progress, and is cancelled with its connection.
  if (current?.req.complete === true) socket.destroy()
  else lingeringClose(socket, { clock })
}
