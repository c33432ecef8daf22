import { toErrorBody } from '@forkstage/error'

/** Prints a line to standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`)
}

/** Prints rows in columns as wide as their longest cell. */
export function printTable(header: string[], rows: (string | number)[][]): void {
  const lines = [header, ...rows.map((row) => row.map(String))]
  const widths = header.map((_, column) => Math.max(...lines.map((line) => (line[column] ?? '').length)))
  for (const line of lines)
    print(
      line
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
}

/** Prints an error to standard error as code, message and hint, without its stack. */
export function printError(error: unknown): void {
  const { code, message, hint, step, peer } = toErrorBody(error)
  const where = [step === undefined ? '' : ` at ${step}`, peer === undefined ? '' : ` (${peer})`].join('')
  process.stderr.write(`${code}${where}\n${message}\n${hint}\n`)
}
