import { build } from 'esbuild'
import { describe, expect, it } from 'vitest'
import { programOptions, programs, roleOptions, rolePrograms } from '../../../scripts/bundleOptions.mjs'

/** Files of which the bundle of a role holds something. */
async function filesOf(role: 'entry' | 'control'): Promise<string[]> {
  const { metafile } = await build({
    ...roleOptions,
    entryPoints: { [role]: rolePrograms[role] },
    outdir: 'unused',
    write: false,
    metafile: true,
  })
  return Object.values(metafile.outputs).flatMap((output) =>
    Object.entries(output.inputs).flatMap(([path, { bytesInOutput }]) => (bytesInOutput > 0 ? [path] : [])),
  )
}

/** Libraries and the project's own packages that a role's process loads. */
async function partsOf(role: 'entry' | 'control'): Promise<string[]> {
  return [...new Set((await filesOf(role)).map(partOf))].sort()
}

function partOf(path: string): string {
  return /.*node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(path)?.[1] ?? path.split('/').slice(0, 2).join('/')
}

describe('the bundle of one role', () => {
  it('holds, for an entry, no other libraries than these', async () => {
    const libraries = (await partsOf('entry')).filter((part) => !part.includes('/') || part.startsWith('@'))
    expect(libraries).toEqual([
      'fast-printf',
      'json-rpc-2.0',
      'prom-client',
      'pure-rand',
      'roarr',
      'safe-stable-stringify',
      'semver-compare',
      'smol-toml',
      'zod',
    ])
  })

  it('holds, for an entry, nothing of replication, storage and the command line', async () => {
    const parts = await partsOf('entry')
    const ofControl = parts.filter((part) =>
      /^(replication|membership\/(sheet|control)|api|claims)\b/.test(part),
    )
    expect(ofControl).toEqual([])
  })

  it('holds, for a control machine, nothing of the command line and no telemetry', async () => {
    const parts = await partsOf('control')
    expect(parts).not.toContain('yargs')
    expect(parts).not.toContain('got')
    expect(parts).not.toContain('@opentelemetry/api')
  })

  it('holds one language of the messages about settings', async () => {
    const languages = (await filesOf('entry')).filter((path) => /zod\/.*\/locales\//.test(path))
    expect(languages.length).toBeLessThanOrEqual(1)
  })

  it('imports nothing while it runs: neither a cached script nor the single binary can', async () => {
    const { outputFiles } = await build({
      ...programOptions,
      entryPoints: { forkstage: programs.forkstage! },
      outdir: 'unused',
      write: false,
    })
    expect(outputFiles[0]!.text).not.toMatch(/await import\(/)
  })
})
