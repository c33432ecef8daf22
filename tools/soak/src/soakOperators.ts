import type { Random } from '@forkstage/clock'
import type { ConfirmAnswer } from '@forkstage/operator-api'
import type { BoxHandle, Deployment } from '@forkstage/deployment'
import type { VersionedTable } from '@forkstage/types'

/** A table whose confirm was answered as accepted. */
export interface AcceptedTable {
  version: number
  digest: string
  confirmId: string
}

/** Operators that confirm conflicting tables, resend confirms, and check that no box returns to an older version. */
export class SoakOperators {
  readonly accepted: AcceptedTable[] = []
  /** Versions that decreased at a box, and versions with two digests. */
  readonly violations: string[] = []
  private readonly newestSeen = new Map<string, number>()

  constructor(
    private readonly deployment: Deployment,
    private readonly random: Random,
  ) {}

  /** Two operators confirm tables based on the same version at random boxes; some confirms are sent twice. */
  async race(): Promise<void> {
    const through = this.drawBox()
    const base = await this.read(through)
    if (base === undefined || base.version === 0) return
    const [left, right] = [0, 1].map((operatorIndex) =>
      this.confirm(operatorIndex === 0 ? through : this.drawBox(), base, operatorIndex),
    )
    await Promise.all([left, right])
  }

  /** Reads the table of a random box, whose version must never decrease. */
  async checkVersion(): Promise<void> {
    const box = this.drawBox()
    const pid = box.process?.child.pid
    const table = await this.read(box)
    if (table === undefined || box.process?.child.pid !== pid) return
    // Versions are compared per process: a restarted one is empty and refuses work until it has the newest table.
    const name = `${box.name}/${pid}`
    const before = this.newestSeen.get(name) ?? 0
    if (table.version < before)
      this.violations.push(`${name} went from version ${before} to ${table.version}`)
    this.newestSeen.set(name, Math.max(before, table.version))
  }

  private async confirm(box: BoxHandle, base: VersionedTable, operatorIndex: number): Promise<void> {
    const confirmId = `soak-${base.version}-${operatorIndex}-${this.random()}`
    const weight = 1 + Math.floor(this.random() * 8)
    const endpoints = base.table.endpoints.map((row) => (row.pool === 'plain' ? { ...row, weight } : row))
    const sends = this.random() < 0.3 ? 2 : 1
    for (let n = 0; n < sends; n += 1) {
      const body = { base: base.version, confirmId, table: { ...base.table, endpoints } }
      const answer = await this.deployment
        .callOperator<ConfirmAnswer>(box, 'POST', '/v1/table/confirm', body)
        .catch(() => undefined)
      if (answer?.outcome === 'accepted')
        this.recordAccepted({ version: answer.version, digest: answer.digest, confirmId })
    }
  }

  private recordAccepted(table: AcceptedTable): void {
    const rival = this.accepted.find((each) => each.version === table.version && each.digest !== table.digest)
    if (rival !== undefined)
      this.violations.push(
        `version ${table.version} was accepted twice: ${rival.confirmId} and ${table.confirmId}`,
      )
    this.accepted.push(table)
  }

  private read(box: BoxHandle): Promise<VersionedTable | undefined> {
    return this.deployment.callOperator<VersionedTable>(box, 'GET', '/v1/table').catch(() => undefined)
  }

  private drawBox(): BoxHandle {
    const { boxes } = this.deployment
    return boxes[Math.floor(this.random() * boxes.length)]!
  }
}
