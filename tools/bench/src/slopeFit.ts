import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics'
import { round } from './summarise'

/** A straight line fitted to measured points, with the range of x that they cover. */
export interface Slope {
  what: string
  /** What x counts, such as boxes. */
  per: string
  unit: string
  slope: number
  intercept: number
  /** Coefficient of determination; 1 is a perfect fit. */
  rSquared: number
  from: number
  to: number
  points: [number, number][]
}

/** Fits a line to points by least squares. */
export function fitSlope(what: string, per: string, unit: string, points: [number, number][]): Slope {
  const line = linearRegression(points)
  const xs = points.map(([x]) => x)
  return {
    what,
    per,
    unit,
    slope: roundToFourDigits(line.m),
    intercept: roundToFourDigits(line.b),
    rSquared: round(rSquared(points, linearRegressionLine(line)), 3),
    from: Math.min(...xs),
    to: Math.max(...xs),
    points: points.map(([x, y]) => [x, roundToFourDigits(y)]),
  }
}

/** Rounds to four significant digits. */
function roundToFourDigits(value: number): number {
  return Number(value.toPrecision(4))
}
