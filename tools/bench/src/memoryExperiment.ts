import { printTable } from '@forkstage/cli'
import {
  MemorySimulation,
  type MemoryExperimentOptions,
  type RunFigures,
  type Variant,
} from './memorySimulation'
import { writeJson } from './report'
import { round } from './summarise'

/** The variants compared: the allocator's defaults, and changes of one setting each. */
const VARIANTS: Record<string, Variant> = {
  defaults: {},
  'returns-first': { tuning: { order: 'returns-first' } },
  'by-age': { tuning: { order: 'by-age' } },
  'returns-last': { tuning: { order: 'returns-last' } },
  'certainty-0.7': { tuning: { lengthCertainty: 0.7 } },
  'certainty-0.6': { tuning: { lengthCertainty: 0.6 } },
  'certainty-0.8': { tuning: { lengthCertainty: 0.8 } },
  'memory-1.0': { tuning: { memoryShare: 1.0 } },
  'late-memory-0.7': { tuning: { lateMemoryShare: 0.7 } },
  'memory-0.9': { tuning: { memoryShare: 0.9 } },
  'memory-1.05': { tuning: { memoryShare: 1.05 } },
  'late-memory-0.97': { tuning: { lateMemoryShare: 0.97 } },
  'refused-late': { promptRefusalShare: 0.7 },
  'no-reports': { withoutReports: true },
  'no-moves': { withoutMigrations: true },
}

/**
 * Simulates long answers on engines with scarce memory, without a network. Callers arrive in peaks and retry once after
 * a refusal. Compares variants of the allocator's tuning on the same requests.
 */
export function runMemoryExperiment(options: MemoryExperimentOptions): void {
  const rows = options.rates.flatMap((rate) =>
    Object.entries(VARIANTS)
      .filter(([name]) => options.variants.length === 0 || options.variants.includes(name))
      .map(([name, variant]) => runVariant(options, rate, name, variant)),
  )
  printTable(
    ['rate', 'variant', 'worth', 'worst windows', 'on target', 'largest', 'refused', '1,000 wasted', 'fill'],
    rows.map((row) => Object.values(row)),
  )
  writeJson(options.slow.share > 0 ? 'memory-slow' : 'memory', { options, rows })
}

function runVariant(options: MemoryExperimentOptions, rate: number, name: string, variant: Variant) {
  const runs = Array.from({ length: options.seeds }, (_, seed) =>
    new MemorySimulation(options, rate, variant, seed + 1).run(),
  )
  const mean = (pick: (run: RunFigures) => number) =>
    round(runs.reduce((sum, run) => sum + pick(run), 0) / runs.length, 3)
  return {
    rate,
    name,
    worth: mean((run) => run.worth),
    worstWindows: mean((run) => run.worstWindows),
    inAim: mean((run) => run.inAim),
    largest: mean((run) => run.largest),
    refused: mean((run) => run.refusedShare),
    wastedThousands: mean((run) => run.wastedTokens / 1_000),
    fill: mean((run) => run.fill),
  }
}
