import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'
import type { HardState, LogEntry } from '@forkstage/raft'
import { DamagedLogError } from './storageErrors'

/** The content of one record of the log file. */
export type LogRecord =
  | { type: 'hardState'; hardState: HardState }
  | { type: 'entry'; entry: LogEntry }
  | { type: 'truncate'; from: number }

/** The records of a file, and the offset of a torn tail in bytes (the file's length if there is none). */
export interface DecodedRecords {
  records: LogRecord[]
  validLength: number
}

/** Length of the payload, checksum of the payload and checksum of these two; four bytes each, before every payload. */
const HEADER_BYTES = 12
/** The last byte of every record, so that a completely written record never ends in a zero byte. */
const END_MARK = 0xa5
const END_BYTES = 1
/** Writes no shared structures: with them, a record would be unreadable without the earlier ones. */
const packr = new Packr({ useRecords: false })

/** Encodes a value as a record with length, checksums and end mark. */
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
 * Decodes the records of a log file, except a tail that a crash left incomplete.
 * @throws DamagedLogError if a completely written record does not match its checksums.
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

/** Decodes a file with a single record, such as a snapshot. @throws DamagedLogError if the record is not intact. */
export function decodeSingleRecord<T>(bytes: Buffer, path: string): T {
  const payload = readPayload(bytes, 0)
  if (payload === undefined) throw new DamagedLogError(path, 0)
  return packr.unpack(payload) as T
}

function recordBytes(payloadLength: number): number {
  return HEADER_BYTES + payloadLength + END_BYTES
}

/** The payload's length in bytes, from the header; undefined if the header is incomplete or damaged. */
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
 * Throws unless the rest of the file is a torn write.
 * A torn write ends early or in zeros, and no valid record follows it. Anything else is damage to completely written
 * records, and truncating it could lose acknowledged entries.
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
