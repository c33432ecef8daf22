// What the build bundles, and how; also read by the test of what an entry loads at its start.

/** Programs that load everything they may need. */
export const programs = {
  forkstage: 'cli/forkstage/src/main.ts',
  fakes: 'engine/fakes/src/main.ts',
  demo: 'tools/demo/src/main.ts',
  bench: 'tools/bench/src/main.ts',
  soak: 'tools/soak/src/main.ts',
  fleetSoak: 'tools/fleet-soak/src/main.ts',
  days: 'tools/days/src/main.ts',
  serve: 'cli/forkstage/src/serve.ts',
}
/** Programs of one role, by the role's name in the deploy file; each bundle holds only what its role needs. */
export const rolePrograms = { entry: 'cli/forkstage/src/entry.ts', control: 'cli/forkstage/src/control.ts' }

/** An optional native part of msgpackr: its absence is handled there, and natives cannot be embedded. */
const withoutNativeParts = {
  name: 'without-native-parts',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^msgpackr-extract$/ }, ({ path }) => ({ path, namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: "throw new Error('not bundled')" }))
  },
}

/**
 * Parts of the library of counters that no machine uses, and that would load and set up much at each start: pushing
 * counters elsewhere (HTTPS, compression), counters of the runtime (telemetry, performance hooks), quantiles.
 */
const withoutUnusedCounters = {
  name: 'without-unused-counters',
  setup({ onLoad }) {
    const unused = /node_modules\/prom-client\/lib\/(pushgateway|defaultMetrics|summary|cluster)\.js$/
    const contents = "module.exports = function () { throw new Error('not bundled') }"
    onLoad({ filter: unused }, () => ({ contents }))
  },
}

const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Several libraries are ES modules that read import.meta.url, which CommonJS does not have.
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href" },
  // A script started from V8's code cache or embedded in the binary cannot import; it requires instead.
  supported: { 'dynamic-import': false },
  logLevel: 'warning',
}

/** For {@link programs}. */
export const programOptions = {
  ...bundleOptions,
  outExtension: { '.js': '.cjs' },
  plugins: [withoutNativeParts],
}

/** For {@link rolePrograms}. */
export const roleOptions = {
  ...bundleOptions,
  outExtension: { '.js': '.bundle.cjs' },
  plugins: [withoutNativeParts, withoutUnusedCounters],
  // Names stay as they are, since stack traces and error classes show them.
  minifySyntax: true,
  minifyWhitespace: true,
}
