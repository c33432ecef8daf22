// Programs and options of the build; also used by the test of the modules that an entry loads at its start.

/** Programs whose bundles contain all code that they may need. */
export const programs = {
  forkstage: 'cli/forkstage/src/main.ts',
  fakes: 'engine/fakes/src/main.ts',
  demo: 'tools/demo/src/main.ts',
  bench: 'tools/bench/src/main.ts',
  soak: 'tools/soak/src/main.ts',
  fleetSoak: 'tools/fleet-soak/src/main.ts',
  partitions: 'tools/fleet-soak/src/partitionExperiment.ts',
  partitionable: 'tools/fleet-soak/src/partitionable.ts',
  hotEntry: 'tools/fleet-soak/src/hotEntryExperiment.ts',
  limitedLink: 'tools/fleet-soak/src/limitedLink.ts',
  largeBodies: 'tools/fleet-soak/src/largeBodiesExperiment.ts',
  endlessBytes: 'tools/fleet-soak/src/endlessBytesExperiment.ts',
  entryMemory: 'tools/fleet-soak/src/entryMemoryExperiment.ts',
  endlessEndpoint: 'tools/fleet-soak/src/endlessEndpoint.ts',
  days: 'tools/days/src/main.ts',
  serve: 'cli/forkstage/src/serve.ts',
}
/** Programs of one role, by the role's name in the deploy file; each bundle contains only what its role needs. */
export const rolePrograms = { entry: 'cli/forkstage/src/entry.ts', control: 'cli/forkstage/src/control.ts' }

/** Leaves out msgpackr's optional native module: msgpackr works without it, and native modules cannot be embedded. */
const withoutNativeParts = {
  name: 'without-native-parts',
  setup({ onResolve, onLoad }) {
    onResolve({ filter: /^msgpackr-extract$/ }, ({ path }) => ({ path, namespace: 'absent' }))
    onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: "throw new Error('not bundled')" }))
  },
}

/**
 * Leaves out unused parts of prom-client that would slow each start: the push gateway (loads HTTPS and compression),
 * default runtime metrics (load telemetry and performance hooks), summaries and the cluster registry.
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
  // Several libraries are ES modules that read import.meta.url, which CommonJS lacks.
  define: { 'import.meta.url': 'importMetaUrl' },
  banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href" },
  // A script that is started from V8's code cache or embedded in the binary cannot import(), only require().
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
  // Identifiers are not minified, since stack traces and error classes show them.
  minifySyntax: true,
  minifyWhitespace: true,
}
