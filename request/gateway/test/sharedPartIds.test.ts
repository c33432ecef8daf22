import { describe, expect, it } from 'vitest'
import { sharedPartIds } from '../src/sharedPartIds'
import { TEST_WIRE } from './testWire'

describe('sharedPartIds', () => {
  it.each([
    ['names all parts but the last', 'a:1,b:2,c:3', ['a', 'b']],
    ['names a repeated part once', 'a:1,b:2,a:1,c:3', ['a', 'b']],
    ['names none of a request with one part', 'a:1', []],
    ['names none where the header is malformed', 'a:1,b', []],
    ['names none where the header is absent', undefined, []],
  ])('%s', (_what, value, ids) => expect(sharedPartIds(value, TEST_WIRE)).toEqual(ids))

  it('names the parts of a long prompt, whatever token counts the caller gives', () => {
    const value = Array.from({ length: 40 }, (_, index) => `p${index}:7`).join(',')
    expect(sharedPartIds(value, TEST_WIRE)).toHaveLength(39)
  })
})
