import { boxSlopes, changeSlopes, endpointSlopes, requestSlopes } from './fleetSlopes'
import { printTable } from '@forkstage/cli'
import { writeJson } from './report'
import type { Slope } from './slopeFit'
import { measureStateSlopes } from './stateSlopes'

const PARTS: Record<string, () => Slope[] | Promise<Slope[]>> = {
  state: measureStateSlopes,
  boxes: boxSlopes,
  endpoints: endpointSlopes,
  changes: changeSlopes,
  requests: requestSlopes,
}

/** Names of the parts that can be measured separately. */
export const SLOPE_PARTS = Object.keys(PARTS)

/** Measures the slopes that docs/CAPACITY.md uses; each part is printed and written as soon as it is done. */
export async function runSlopesExperiment(parts: string[]): Promise<void> {
  for (const part of parts) {
    const slopes = await PARTS[part]!()
    printTable(
      ['what', 'slope', 'unit', 'per', 'at zero', 'from', 'to', 'r²'],
      slopes.map((each) => [
        each.what,
        each.slope,
        each.unit,
        each.per,
        each.intercept,
        each.from,
        each.to,
        each.rSquared,
      ]),
    )
    writeJson(`slopes-${part}`, slopes)
  }
}
