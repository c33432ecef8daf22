import { describe, expect, it } from 'vitest'
import { deployedFlags } from '../src/deployedFlags'

describe('deployedFlags', () => {
  it.each(['entry', 'control'])('are those of the run line only: %s', (role) => {
    const flags = deployedFlags(role)
    expect(flags).toContainEqual(expect.stringMatching(/^--max-old-space-size=\d+$/))
    expect(flags.filter((flag) => !flag.startsWith('--'))).toEqual([])
  })

  it('rejects a role that is not deployed', () => {
    expect(() => deployedFlags('nobody')).toThrow('nobody')
  })
})
