import { expect, it } from 'vitest'
import { contentDigest, isPart, partDigest } from '../src'

it('is equal for one part of one service and differs for another part or service', () => {
  expect(partDigest('s', 'a1')).toBe(partDigest('s', 'a1'))
  expect(partDigest('s', 'a2')).not.toBe(partDigest('s', 'a1'))
  expect(partDigest('sa', '1')).not.toBe(partDigest('s', 'a1'))
})

it('tells parts from contents', () => {
  expect(isPart(partDigest('s', 'a1'))).toBe(true)
  expect(isPart(contentDigest({ method: 'GET', host: 'h', path: '/', body: Buffer.alloc(0) }))).toBe(false)
})
