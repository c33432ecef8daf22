import { totalmem } from 'node:os'
import { AnswerMemory, BodyMemory } from '@forkstage/gateway'
import type { MachineContext } from './machineContext'
import { processLimitBytes } from './processMemory'

const MB = 1024 * 1024
/** Share of the budget that bodies of requests may take; answers get the rest. */
const BODIES_SHARE = 0.65

/** What an entry may hold of its callers' requests and its endpoints' answers. */
export interface EntryMemory {
  bodyMemory: BodyMemory
  answerMemory: AnswerMemory
}

/** Divides the budget of an entry, which follows from the memory that its process may use and its machine has. */
export function createEntryMemory(
  { settings, clock, logger }: Pick<MachineContext, 'settings' | 'clock' | 'logger'>,
  machineBytes = totalmem(),
): EntryMemory {
  const { process_mb: processMb, held_share: share } = settings.memory
  const budget = processLimitBytes(settings, machineBytes) * share
  const bodies = Math.floor(budget * BODIES_SHARE)
  const answers = Math.floor(budget - bodies)
  logger.info('memory.budget', { processMb, machineMb: Math.floor(machineBytes / MB), bodies, answers })
  return {
    bodyMemory: new BodyMemory({ limitBytes: bodies, clock, logger }),
    answerMemory: new AnswerMemory(answers),
  }
}
