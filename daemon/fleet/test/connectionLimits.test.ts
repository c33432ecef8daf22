import { createSilentLogger } from '@forkstage/logger'
import { expect, it } from 'vitest'
import { connectionLimits } from '../src/connectionLimits'

const logger = createSilentLogger()

// Guards against a large fleet whose control machines refuse most entries, since the system counts only files.
it('follows the settings whatever the system allows of files', () => {
  expect(connectionLimits(4_100, logger, 200).peers.most).toBe(615)
})

it.each([
  [256, 128],
  [1_000_000, 2_048],
])('follows the system, up to the default, where the settings say nothing: %i', (openFiles, callers) => {
  expect(connectionLimits(undefined, logger, openFiles).callers.most).toBe(callers)
})
