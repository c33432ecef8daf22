/** Keeps signals from ending the process by their default action, while its modules are loaded. */
export function takeSignals(signals: NodeJS.Signals[]): void {
  for (const signal of signals) process.on(signal, () => undefined)
}
