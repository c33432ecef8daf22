// Bundles each program into one CommonJS file under dist/, for running and for the single binary.
import { build } from 'esbuild'

const programs = {
  forkstage: 'cli/forkstage/src/main.ts',
  fakes: 'engine/fakes/src/main.ts',
  demo: 'tools/demo/src/main.ts',
  bench: 'tools/bench/src/main.ts',
  soak: 'tools/soak/src/main.ts',
  fleetSoak: 'tools/fleet-soak/src/main.ts',
  days: 'tools/days/src/main.ts',
  serve: 'cli/forkstage/src/serve.ts',
}
/** Programs named on the command line, or all. */
const wanted = process.argv.slice(2)
const entryPoints = Object.fromEntries(
  Object.entries(programs).filter(([name]) => wanted.length === 0 || wanted.includes(name)),
)

/** An optional native part of msgpackr: its absence is handled there, and natives cannot be embedded. */
const withoutNativeParts = {
  name: 'without-native-parts',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^msgpackr-extract$/ }, ({ path }) => ({ path, namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: "throw new Error('not bundled')" }))
  },
}

await build({
  entryPoints,
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
