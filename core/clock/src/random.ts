import { randomInt } from 'node:crypto'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A source of random numbers, uniform in [0, 1). */
export type Random = () => number

/** Returns a random source that produces the same sequence for the same seed. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Returns a random source with a random seed. */
export function createSystemRandom(): Random {
  return createSeededRandom(randomInt(2 ** 31))
}
