import { randomBytes } from 'node:crypto'
import { createSystemClock, createSystemRandom, type Clock, type Random } from '@forkstage/clock'
import type { FleetSettings } from '@forkstage/fleet-settings'
import { createLogger, LogLimiter, type Logger } from '@forkstage/logger'
import { parseAddress, PeerClient, type PeerCredentials } from '@forkstage/peer-rpc'
import { GarbageMonitor } from './garbageMonitor'
import { MemoryMonitor } from './memoryMonitor'
import { processLimitBytes } from './processMemory'

/** What entries and control machines share: settings, clock, logging and connections to other machines. */
export interface MachineContext {
  settings: FleetSettings
  clock: Clock
  random: Random
  logger: Logger
  logLimiter: LogLimiter
  memoryMonitor: MemoryMonitor
  garbageMonitor: GarbageMonitor
  peers: PeerClient
  /** What this machine proves its identity with to others. */
  credentials: PeerCredentials
  /** A random identifier of this incarnation of the process. */
  epoch: string
}

const MAX_QUEUED_LOG_BYTES = 512 * 1_024

/** Creates the context of a machine from its settings. */
export function createMachineContext(
  settings: FleetSettings,
  clock: Clock = createSystemClock(),
): MachineContext {
  const logLimiter = new LogLimiter({
    perSecond: settings.log.lines_per_second,
    now: () => clock.now(),
    queuedBytes: () => process.stdout.writableLength,
    maxQueuedBytes: MAX_QUEUED_LOG_BYTES,
  })
  const context = { box: settings.machine.name }
  const logger = createLogger({ context, level: settings.log.level, limiter: logLimiter })
  const credentials = {
    box: settings.machine.name,
    sharedKey: settings.peers.shared_key,
    localAddress: parseAddress(settings.listen.peers).host,
    connectMs: settings.peers.connect_ms,
    silentMs: settings.peers.silent_ms,
  }
  const machine: MachineContext = {
    settings,
    clock,
    random: createSystemRandom(),
    logger,
    logLimiter,
    memoryMonitor: new MemoryMonitor({
      limitBytes: () => processLimitBytes(machine.settings),
      clock,
      logger,
    }),
    garbageMonitor: new GarbageMonitor({ limitBytes: () => processLimitBytes(machine.settings), clock }),
    peers: new PeerClient({ credentials, clock, logger }),
    credentials,
    epoch: randomBytes(5).toString('hex'),
  }
  return machine
}
