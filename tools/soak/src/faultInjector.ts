import got from 'got'
import type { BoxHandle, Deployment } from '@forkstage/deployment'
import type { PlannedFault } from './planFaults'

const ENGINE_FAULTS: Partial<Record<PlannedFault['kind'], object>> = {
  'stall-transfers': { stallTransfers: true },
  'cut-streams': { cutStreamsAfter: 7, doubleFrames: true, swapFrames: true },
  refuse: { refuse: true },
  limp: { slowFactor: 3 },
  'drop-reports': { dropReports: 0.7, dropCacheEvents: 0.7 },
}

/** Injects faults into a deployment and ends them; a box has at most one fault at a time. */
export class FaultInjector {
  private readonly busy = new Set<BoxHandle>()
  /** One line for each injected fault. */
  readonly done: string[] = []

  constructor(private readonly deployment: Deployment) {}

  async inject(fault: PlannedFault): Promise<void> {
    const isBoxFault = fault.kind === 'kill' || fault.kind === 'freeze' || fault.kind === 'cut'
    if (isBoxFault) return this.injectAtBox(fault)
    const { plain, prefill, decode } = this.deployment.ports
    const engines = [...decode, ...prefill]
    const ports = fault.kind === 'lose-saves' ? plain : [engines[Math.floor(fault.target * engines.length)]!]
    const faults = fault.kind === 'lose-saves' ? { cutAfterRun: true } : ENGINE_FAULTS[fault.kind]!
    this.done.push(`${fault.kind} at ${ports.join(', ')} for ${Math.round(fault.forMs)} ms`)
    await setFaults(ports, faults)
    await wait(fault.forMs)
    await setFaults(ports, {})
  }

  private async injectAtBox(fault: PlannedFault): Promise<void> {
    const { boxes } = this.deployment
    const box = boxes[Math.floor(fault.target * boxes.length)]!
    // Two control boxes down would stop all work; the tests of the deployment cover that case.
    const isControlBusy = box.control && [...this.busy].some((each) => each.control)
    if (this.busy.has(box) || isControlBusy) return
    this.busy.add(box)
    this.done.push(`${fault.kind} ${box.name} for ${Math.round(fault.forMs)} ms`)
    if (fault.kind === 'kill') await this.killAndRestart(box, fault.forMs)
    if (fault.kind === 'freeze') await this.freezeAndThaw(box, fault.forMs)
    if (fault.kind === 'cut') await this.cutAndHeal(box, fault.forMs)
    this.busy.delete(box)
  }

  private async killAndRestart(box: BoxHandle, forMs: number): Promise<void> {
    await this.deployment.kill(box)
    await wait(forMs)
    this.deployment.startBox(box)
    await this.deployment.waitForOperators(box)
  }

  private async freezeAndThaw(box: BoxHandle, forMs: number): Promise<void> {
    this.deployment.freeze(box)
    await wait(forMs)
    this.deployment.thaw(box)
  }

  private async cutAndHeal(box: BoxHandle, forMs: number): Promise<void> {
    this.deployment.cutOff(box, true)
    await wait(forMs)
    this.deployment.cutOff(box, false)
  }
}

/** Sets the faults of stand-ins; an empty object ends all faults. */
export async function setFaults(ports: number[], faults: object): Promise<void> {
  await Promise.all(ports.map((port) => got.post(`http://127.0.0.1:${port}/faults`, { json: faults })))
}

export function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}
