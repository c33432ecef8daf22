import fc from 'fast-check'
import { expect, it } from 'vitest'
import { contentDigest, type RequestContent } from '../src'

const BASE: RequestContent = {
  key: 'k1',
  method: 'POST',
  host: 'h.example',
  path: '/p/1?page=2',
  body: Buffer.from('a prompt'),
}

it('is equal for equal content and differs if any part differs', () => {
  const others: Partial<RequestContent>[] = [
    { key: 'k2' },
    { key: undefined },
    { method: 'PUT' },
    { host: 'other.example' },
    { path: '/p/1?page=3' },
    { body: Buffer.from('a prompt.') },
  ]
  expect(contentDigest({ ...BASE, body: Buffer.from('a prompt') })).toBe(contentDigest(BASE))
  for (const other of others) expect(contentDigest({ ...BASE, ...other })).not.toBe(contentDigest(BASE))
})

it('distinguishes contents whose parts only concatenate to the same text', () => {
  const text = fc.string({ maxLength: 6 })
  fc.assert(
    fc.property(text, text, text, text, (key, method, host, path) => {
      const one = { key, method, host, path, body: Buffer.alloc(0) }
      const shifted = { ...one, key: key + method, method: '' }
      if (method === '') return
      expect(contentDigest(shifted)).not.toBe(contentDigest(one))
    }),
  )
})
