import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import forge from 'node-forge'
import type { TlsFiles } from '../src'

/** Writes a certificate authority and the certificate of a box at 127.0.0.1 to files; returns their paths. */
export function makeCertificates(name: string): TlsFiles {
  const folder = mkdtempSync(join(tmpdir(), 'forkstage-tls-'))
  const authorityKeys = forge.pki.rsa.generateKeyPair(2_048)
  const authority = create(
    `${name} authority`,
    authorityKeys.publicKey,
    `${name} authority`,
    authorityKeys.privateKey,
    [{ name: 'basicConstraints', cA: true }],
  )
  const boxKeys = forge.pki.rsa.generateKeyPair(2_048)
  const box = create(`${name} box`, boxKeys.publicKey, `${name} authority`, authorityKeys.privateKey, [
    { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] },
  ])
  const write = (file: string, text: string) => {
    writeFileSync(join(folder, file), text)
    return join(folder, file)
  }
  return {
    certificate: write('box.pem', forge.pki.certificateToPem(box)),
    key: write('box.key', forge.pki.privateKeyToPem(boxKeys.privateKey)),
    authority: write('ca.pem', forge.pki.certificateToPem(authority)),
  }
}

function create(
  subject: string,
  publicKey: forge.pki.PublicKey,
  issuer: string,
  signer: forge.pki.PrivateKey,
  extensions: object[],
): forge.pki.Certificate {
  const certificate = forge.pki.createCertificate()
  certificate.publicKey = publicKey
  certificate.serialNumber = `0${Math.floor(Math.random() * 1e9)}`
  certificate.validity.notBefore = new Date(Date.now() - 86_400_000)
  certificate.validity.notAfter = new Date(Date.now() + 86_400_000)
  certificate.setSubject([{ name: 'commonName', value: subject }])
  certificate.setIssuer([{ name: 'commonName', value: issuer }])
  certificate.setExtensions(extensions)
  certificate.sign(signer as forge.pki.rsa.PrivateKey, forge.md.sha256.create())
  return certificate
}
