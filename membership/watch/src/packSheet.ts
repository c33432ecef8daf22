import { gunzipSync, gzipSync } from 'node:zlib'
import type { PackedSheet, WatchedSheet } from './watchTypes'

/** Compresses a sheet to send it to another machine. */
export function packSheet(sheet: WatchedSheet): PackedSheet {
  return { version: sheet.version, packed: gzipSync(sheet.text).toString('base64') }
}

/** The reverse of {@link packSheet}. */
export function unpackSheet(sheet: PackedSheet): WatchedSheet {
  return { version: sheet.version, text: gunzipSync(Buffer.from(sheet.packed, 'base64')).toString() }
}
