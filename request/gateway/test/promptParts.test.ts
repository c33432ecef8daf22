import { describe, expect, it } from 'vitest'
import type { CallerRequest } from '../src/callerRequest'
import { promptPartsOf } from '../src/promptParts'
import { TEST_WIRE } from './testWire'

function partsOf(value: string | undefined, prompt = 300) {
  const request = { headers: value === undefined ? {} : { 'x-parts': value } } as unknown as CallerRequest
  return promptPartsOf(request, TEST_WIRE, { prompt, most: 10 })
}

describe('promptPartsOf', () => {
  it('reads the parts that a request names', () => {
    expect(partsOf('a:100,b:200')).toEqual([
      { id: 'a', tokens: 100 },
      { id: 'b', tokens: 200 },
    ])
  })

  it('ignores parts that do not add up to the prompt or exceed the limits', () => {
    expect(partsOf(undefined)).toBeUndefined()
    expect(partsOf('a')).toBeUndefined()
    expect(partsOf('a:100,b:100')).toBeUndefined()
    expect(partsOf('a:x,b:200')).toBeUndefined()
    expect(partsOf(`${'a'.repeat(100)}:300`)).toBeUndefined()
    expect(partsOf(Array.from({ length: 300 }, (_, index) => `p${index}:1`).join(','))).toBeUndefined()
    const request = { headers: { 'x-parts': 'a:1' } } as unknown as CallerRequest
    expect(promptPartsOf(request, TEST_WIRE, undefined)).toBeUndefined()
  })
})
