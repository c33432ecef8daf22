import { readFileSync } from 'node:fs'

/** Paths of a box's certificate files, as given by the settings. */
export interface TlsFiles {
  certificate: string
  key: string
  authority: string
}

/** TLS options of Node.js that verify both sides against the certificate authority of the deployment. */
export interface TlsOptions {
  cert: Buffer
  key: Buffer
  ca: Buffer
  requestCert: true
  rejectUnauthorized: true
}

/** Reads certificate, key and authority, and returns them as TLS options. */
export function readTlsFiles(files: TlsFiles): TlsOptions {
  return {
    cert: readFileSync(files.certificate),
    key: readFileSync(files.key),
    ca: readFileSync(files.authority),
    requestCert: true,
    rejectUnauthorized: true,
  }
}
