import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { compile, type TopLevelSpec } from 'vega-lite'
import { parse, View } from 'vega'

/** Folder of the measurements, relative to the working directory. */
export const MEASUREMENTS_FOLDER = 'docs/measurements'

/** Writes a measurement as `NAME.json`. */
export function writeJson(name: string, value: unknown): void {
  mkdirSync(MEASUREMENTS_FOLDER, { recursive: true })
  writeFileSync(join(MEASUREMENTS_FOLDER, `${name}.json`), `${JSON.stringify(value, null, 1)}\n`)
}

/** A line chart with one line per series. */
export interface Chart {
  title: string
  x: string
  y: string
  rows: { x: number; y: number; series: string }[]
}

/** Draws a chart as `NAME.svg`. */
export async function writeChart(name: string, chart: Chart): Promise<void> {
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v5.json',
    title: chart.title,
    width: 560,
    height: 300,
    background: 'white',
    data: { values: chart.rows },
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'x', type: 'quantitative', title: chart.x },
      y: { field: 'y', type: 'quantitative', title: chart.y },
      color: { field: 'series', type: 'nominal', title: '' },
    },
  }
  const view = new View(parse(compile(spec).spec), { renderer: 'none' })
  mkdirSync(MEASUREMENTS_FOLDER, { recursive: true })
  writeFileSync(join(MEASUREMENTS_FOLDER, `${name}.svg`), await view.toSVG())
}
