import { closeSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { writeAtomically } from '../../../scripts/writeAtomically.mjs'

let folder: string

describe('writeAtomically', () => {
  beforeEach(() => (folder = mkdtempSync(join(tmpdir(), 'forkstage-write-'))))
  afterEach(() => rmSync(folder, { recursive: true }))

  it('leaves a program that is being read as it was, so that no process starts from half of it', () => {
    const path = join(folder, 'entry.bundle.cjs')
    writeFileSync(path, 'the old program')
    const opened = openSync(path, 'r')
    writeAtomically(path, 'new')
    expect(readFileSync(opened, 'utf8')).toBe('the old program')
    expect(readFileSync(path, 'utf8')).toBe('new')
    expect(readdirSync(folder)).toEqual(['entry.bundle.cjs'])
    closeSync(opened)
  })
})
