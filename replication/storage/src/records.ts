import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'
import type { HardState, LogEntry } from '@forkstage/raft'
import { DamagedLogError } from './storageErrors'

/** What one record of the log file holds. */
export type LogRecord =
  | { type: 'hardState'; hardState: HardState }
  | { type: 'entry'; entry: LogEntry }
  | { type: 'truncate'; from: number }

/** The records of a file, and where a torn tail begins (the file's length where there is none). */
export interface DecodedRecords {
  records: LogRecord[]
  validLength: number
}

/** Length, checksum of the payload and checksum of these two, four bytes each, ahead of every payload. */
const HEADER_BYTES = 12
/** Ends every record, so that a record written whole never ends in a zero. */
const END_MARK = 0xa5
const END_BYTES = 1
/** Shared structures would make a record unreadable without its predecessors. */
const packr = new Packr({ useRecords: false })

/** Encodes one value with length, checksums and end mark. */
export function encodeRecord(value: unknown): Buffer {
  const payload = packr.pack(value)
  const record = Buffer.allocUnsafe(recordBytes(payload.length))
  record.writeUInt32LE(payload.length, 0)
  record.writeUInt32LE(crc32(payload), 4)
  record.writeUInt32LE(crc32(record.subarray(0, 8)), 8)
  payload.copy(record, HEADER_BYTES)
  record.writeUInt8(END_MARK, record.length - END_BYTES)
  return record
}

/**
 * Decodes the records of a log file. A tail that a crash cut short is left out.
 * @throws DamagedLogError where bytes that had been written whole do not match their checksum.
 */
export function decodeRecords(bytes: Buffer, path: string): DecodedRecords {
  const records: LogRecord[] = []
  let offset = 0
  while (offset < bytes.length) {
    const payload = readPayload(bytes, offset)
    if (payload === undefined) {
      assertTornTail(bytes, offset, path)
      break
    }
    records.push(packr.unpack(payload) as LogRecord)
    offset += recordBytes(payload.length)
  }
  return { records, validLength: offset }
}

/** Decodes a file that holds a single record, as snapshots do. */
export function decodeSingleRecord<T>(bytes: Buffer, path: string): T {
  const payload = readPayload(bytes, 0)
  if (payload === undefined) throw new DamagedLogError(path, 0)
  return packr.unpack(payload) as T
}

function recordBytes(payloadLength: number): number {
  return HEADER_BYTES + payloadLength + END_BYTES
}

/** The payload's length as its header says it, or undefined where the header is short or wrong. */
function readLength(bytes: Buffer, offset: number): number | undefined {
  if (bytes.length < offset + HEADER_BYTES) return undefined
  const header = bytes.subarray(offset, offset + 8)
  return crc32(header) === bytes.readUInt32LE(offset + 8) ? header.readUInt32LE(0) : undefined
}

function readPayload(bytes: Buffer, offset: number): Buffer | undefined {
  const length = readLength(bytes, offset)
  if (length === undefined) return undefined
  const end = offset + recordBytes(length)
  if (bytes.length < end || bytes[end - END_BYTES] !== END_MARK) return undefined
  const payload = bytes.subarray(offset + HEADER_BYTES, end - END_BYTES)
  return crc32(payload) === bytes.readUInt32LE(offset + 4) ? payload : undefined
}

/**
 * Tells a tail that a crash left unfinished from damage to what was once whole.
 * A torn write ends short or in zeros, and nothing valid follows it; anything else is damage, and
 * dropping it could lose acknowledged entries.
 */
function assertTornTail(bytes: Buffer, offset: number, path: string): void {
  const rest = bytes.subarray(offset)
  const length = readLength(rest, 0)
  const endsShort = rest.length < HEADER_BYTES || (length !== undefined && recordBytes(length) > rest.length)
  const endsInZeros = rest.at(-1) === 0
  if (!endsShort && !endsInZeros) throw new DamagedLogError(path, offset)
  for (let next = 1; next + HEADER_BYTES < rest.length; next += 1) {
    if (readPayload(rest, next) !== undefined) throw new DamagedLogError(path, offset)
  }
}
