import { measureFleetSlopes } from './fleetSlopes'
import { printRows, writeJson } from './report'
import { measureStateSlopes } from './stateSlopes'

/** Measures every slope that docs/CAPACITY.md works with. */
export async function runSlopesExperiment(): Promise<void> {
  const slopes = [...measureStateSlopes(), ...(await measureFleetSlopes())]
  printRows(
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
  writeJson('slopes', slopes)
}
