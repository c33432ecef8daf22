import type { LostRequestReport, LostStage } from './checkLostRequests'

/** Returns how many requests were lost, by how far they had come. */
export function countLost({ lost }: LostRequestReport): Record<LostStage, number> {
  const counts = { 'never read': 0, read: 0, 'sent on': 0 }
  for (const { stage } of lost) counts[stage] += 1
  return counts
}
