// Bundles each program into one CommonJS file under dist/, for running and for the single binary.
import { build } from 'esbuild'

const programs = {
  forkstage: 'cli/forkstage/src/main.ts',
  fakes: 'engine/fakes/src/main.ts',
  demo: 'tools/demo/src/main.ts',
  bench: 'tools/bench/src/main.ts',
  soak: 'tools/soak/src/main.ts',
}

/** An optional native part of msgpackr: its absence is handled there, and natives cannot be embedded. */
const withoutNativeParts = {
  name: 'without-native-parts',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^msgpackr-extract$/ }, ({ path }) => ({ path, namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: "throw new Error('not bundled')" }))
  },
}

await build({
  entryPoints: programs,
  outdir: process.env.FORKSTAGE_DIST ?? 'dist',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Several libraries are ES modules that read import.meta.url, which CommonJS does not have.
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href" },
  plugins: [withoutNativeParts],
  logLevel: 'warning',
})
