import type { CallRecord } from './soakCallers'

const SHOWN_CHARACTERS = 160

/** Returns how many calls got which answer, with its body, so that the reason is visible without the logs. */
export function countAnswers(answers: CallRecord[]): string {
  const kinds = new Map<string, number>()
  for (const { entry, status, body } of answers) {
    const kind = `${entry} ${status} ${body.slice(0, SHOWN_CHARACTERS)}`
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1)
  }
  return [...kinds].map(([kind, count]) => `${count} x ${kind}`).join('; ')
}
