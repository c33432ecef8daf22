import { execFile } from 'node:child_process'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { promisify } from 'node:util'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { ADDIS, OPERATOR_TOKEN, sendChat, sendPlain, type Deployment } from '../src'
import { startDeployment, stopDeployment } from './harness'

const run = promisify(execFile)
let deployment: Deployment
let folder = ''
let binary = ''

beforeAll(async () => {
  await run('node', ['scripts/buildBinary.mjs'])
  folder = mkdtempSync(join(tmpdir(), 'forkstage-binary-'))
  binary = join(folder, 'forkstage')
  copyFileSync('dist/forkstage', binary)
  deployment = await startDeployment({ command: [binary] })
})
afterAll(async () => {
  await stopDeployment(deployment)
  rmSync(folder, { recursive: true, force: true })
})

/** Runs a command of the single-file binary in a folder without node_modules. */
async function forkstage(...args: string[]): Promise<{ code: number; out: string; err: string }> {
  const env = {
    ...process.env,
    FORKSTAGE_BOX: deployment.boxes[1]!.operators,
    FORKSTAGE_TOKEN: OPERATOR_TOKEN,
  }
  try {
    const { stdout, stderr } = await run(binary, args, { cwd: folder, env })
    return { code: 0, out: stdout, err: stderr }
  } catch (error) {
    const { code, stdout, stderr } = error as { code: number; stdout: string; stderr: string }
    return { code, out: stdout, err: stderr }
  }
}

describe('the single-file binary', () => {
  it('serves an answer check, a hint and a save', async () => {
    const check = await sendChat(deployment.boxes[0]!, { model: ADDIS.model, prompt: 'seal? [[answer=4]]' })
    const hint = await sendChat(deployment.boxes[3]!, { model: ADDIS.model, prompt: 'hint', stream: false })
    const save = await sendPlain(deployment.boxes[5]!, `/${ADDIS.plainService}/saves/1`, {
      method: 'POST',
      body: 'x',
    })
    expect([check.whole, hint.whole, save.execution]).toEqual([true, true, 'ran'])
    const explained = await forkstage('explain', check.request)
    expect(explained.code).toBe(0)
    for (const step of ['received', 'claim', 'placed', 'prefilled', 'ended'])
      expect(explained.out).toContain(step)
  })

  it('shows, exports, compares, checks and confirms the table', async () => {
    expect((await forkstage('table', 'show')).out).toContain('kelem-llm-prefill-1')
    expect((await forkstage('table', 'export', 'edit')).code).toBe(0)
    expect((await forkstage('table', 'diff', 'edit')).out).toContain('no difference')
    const file = join(folder, 'edit', 'endpoints.csv')
    const sheet = readFileSync(file, 'utf8')
    writeFileSync(file, sheet.replace(/^(kelem-llm-prefill-1,.*?,kelem-7b),1,/m, '$1,-1,'))
    const faulty = await forkstage('table', 'check', 'edit')
    expect([faulty.code, faulty.err]).toEqual([
      2,
      expect.stringContaining('row kelem-llm-prefill-1, column weight'),
    ])
    writeFileSync(file, sheet.replace(/^(kelem-llm-prefill-1,.*?,kelem-7b),1,/m, '$1,3,'))
    expect((await forkstage('table', 'diff', 'edit')).out).toContain('weight: 1 -> 3')
    const confirmed = await forkstage('table', 'confirm', 'edit', '--wait', '--id', 'one-confirm-id')
    expect([confirmed.code, confirmed.out]).toEqual([0, expect.stringContaining('in force on all 7 boxes')])
    const resent = await forkstage('table', 'confirm', 'edit', '--id', 'one-confirm-id', '--base', '1')
    expect([resent.code, resent.out]).toEqual([0, expect.stringContaining('accepted as version 2')])
    const late = await forkstage('table', 'confirm', 'edit', '--base', '1', '--id', 'another-confirm')
    expect([late.code, late.out]).toEqual([3, expect.stringContaining('conflict')])
    expect((await forkstage('table', 'history')).out).toContain('one-confirm-id')
  })

  it('shows every box, sends orders and stops a box', async () => {
    const status = await forkstage('status')
    for (const box of deployment.boxes) expect(status.out).toContain(box.name)
    expect((await forkstage('order', 'kelem-llm-decode-2', 'loadModel', 'kelem-7b')).out).toContain('fence')
    expect((await forkstage('stop', '--box', deployment.boxes[6]!.operators)).code).toBe(0)
    expect(await deployment.boxes[6]!.process!.exited).toBe(0)
  })

  it('prints code, message and hint of an error, never a bare stack', async () => {
    const nowhere = await forkstage('status', '--box', '127.0.0.1:1')
    expect([nowhere.code, nowhere.err]).toEqual([1, expect.stringMatching(/^FORKSTAGE_BOX_UNREACHABLE/)])
    expect(nowhere.err).not.toContain('    at ')
    expect((await forkstage('no-such-command')).code).toBe(2)
    const wrong = await forkstage('table', 'show', '--token', 'wrong-token')
    expect([wrong.code, wrong.err]).toEqual([1, expect.stringMatching(/^FORKSTAGE_UNKNOWN_OPERATOR/)])
  })
})
