import fc from 'fast-check'
import { expect, it } from 'vitest'
import { readEndpoints, type RegisteredEndpoint } from '../src'

const GOOD: RegisteredEndpoint = {
  id: 'i-1~abc',
  name: 'i-1',
  born: 5,
  service: 's',
  address: '127.0.0.1:1',
  zone: 'z',
  slots: 4,
  state: 'ready',
  stage: 'decode',
  models: ['m'],
  coldMs: 0,
  sequence: 1,
}

it.each(['', 'somewhere', '127.0.0.1:0', '127.0.0.1:65536', '300.0.0.1:80'])(
  'omits an endpoint that may get requests at the address %j, and keeps its departure',
  (address) => {
    const states = ['ready', 'draining', 'left', 'ended'] as const
    const read = readEndpoints(states.map((state) => ({ ...GOOD, address, state })))
    expect(read.map(({ state }) => state)).toEqual(['left', 'ended'])
  },
)

it('omits at most the invalid one of forty records, whichever field is invalid, and never throws', () => {
  const many = Array.from({ length: 40 }, (_, index) => ({ ...GOOD, id: `i-${index}` }))
  fc.assert(
    fc.property(fc.nat(39), fc.constantFrom(...Object.keys(GOOD)), fc.jsonValue(), (at, field, value) => {
      const list = many.map((one, index) => (index === at ? { ...one, [field]: value } : one))
      const read = readEndpoints(list)
      expect(read.length).toBeGreaterThanOrEqual(39)
      expect(read.filter(({ id }) => id !== `i-${at}`).length).toBeGreaterThanOrEqual(39)
    }),
  )
  fc.assert(fc.property(fc.anything(), (raw) => void expect(Array.isArray(readEndpoints(raw))).toBe(true)))
})
