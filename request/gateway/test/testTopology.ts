import { Topology } from '@forkstage/topology'

/** Two failure domains in each of three regions; `z` is the entry's own. */
export const TOPOLOGY = new Topology({
  z: 'west',
  z2: 'west',
  e1: 'east',
  e2: 'east',
  s1: 'south',
  s2: 'south',
})
