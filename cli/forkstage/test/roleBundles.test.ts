import { build } from 'esbuild'
import { describe, expect, it } from 'vitest'
import { programOptions, programs, roleOptions, rolePrograms } from '../../../scripts/bundleOptions.mjs'

/** Returns the files that contribute to the bundle of a role. */
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

/** Returns the libraries and the project's own packages in the bundle of a role. */
async function partsOf(role: 'entry' | 'control'): Promise<string[]> {
  return [...new Set((await filesOf(role)).map(partOf))].sort()
}

function partOf(path: string): string {
  return /.*node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(path)?.[1] ?? path.split('/').slice(0, 2).join('/')
}

describe('bundle of a role', () => {
  it('contains only these libraries for an entry', async () => {
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

  it('contains nothing of replication, storage and the command line for an entry', async () => {
    const parts = await partsOf('entry')
    const ofControl = parts.filter((part) =>
      /^(replication|membership\/(sheet|control)|api|claims)\b/.test(part),
    )
    expect(ofControl).toEqual([])
  })

  it('contains nothing of the command line and no telemetry for a control machine', async () => {
    const parts = await partsOf('control')
    expect(parts).not.toContain('yargs')
    expect(parts).not.toContain('got')
    expect(parts).not.toContain('@opentelemetry/api')
  })

  it('contains at most one language of messages about settings', async () => {
    const languages = (await filesOf('entry')).filter((path) => /zod\/.*\/locales\//.test(path))
    expect(languages.length).toBeLessThanOrEqual(1)
  })

  it('contains no dynamic import, which neither a cached script nor the single binary supports', async () => {
    const { outputFiles } = await build({
      ...programOptions,
      entryPoints: { forkstage: programs.forkstage! },
      outdir: 'unused',
      write: false,
    })
    expect(outputFiles[0]!.text).not.toMatch(/await import\(/)
  })
})
