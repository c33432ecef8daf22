// Builds dist/forkstage, one executable file: a copy of node with the bundle injected.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, rmSync, writeFileSync } from 'node:fs'

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/forkstage.cjs',
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true,
  }),
)
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
rmSync('dist/forkstage', { force: true })
copyFileSync(process.execPath, 'dist/forkstage')
chmodSync('dist/forkstage', 0o755)
const postject = 'node_modules/postject/dist/cli.js'
const inject = [postject, 'dist/forkstage', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', SENTINEL]
execFileSync(process.execPath, inject, { stdio: 'inherit' })
