import { readFileSync } from 'node:fs'

/** Where the certificates of a box are, as the settings name them. */
export interface TlsFiles {
  certificate: string
  key: string
  authority: string
}

/** What node's TLS needs so that both sides are checked against the project's own authority. */
export interface TlsOptions {
  cert: Buffer
  key: Buffer
  ca: Buffer
  requestCert: true
  rejectUnauthorized: true
}

/** Reads certificate, key and authority. */
export function readTlsFiles(files: TlsFiles): TlsOptions {
  return {
    cert: readFileSync(files.certificate),
    key: readFileSync(files.key),
    ca: readFileSync(files.authority),
    requestCert: true,
    rejectUnauthorized: true,
  }
}
