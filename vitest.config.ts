import { defineConfig } from 'vitest/config'

/** Tests of processes under load, each of which has the machine to itself. */
const ALONE = '*/*/test/**/*.alone.test.ts'

export default defineConfig({
  test: {
    testTimeout: 120_000,
    hookTimeout: 120_000,
    pool: 'forks',
    maxWorkers: 3,
    projects: [
      {
        extends: true,
        test: {
          name: 'parallel',
          include: ['*/*/test/**/*.test.ts'],
          exclude: [ALONE],
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'alone',
          include: [ALONE],
          fileParallelism: false,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
})
