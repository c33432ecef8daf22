import { expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { QuotaAccount } from '../src/quotaAccount'

it('does not use a grant that was requested before a suspension, even if it is answered after', () => {
  const clock = new ManualClock()
  const options = { life: 'l', windowMs: 8_000, random: () => 0.5, suspendedAt: () => clock.suspendedAt() }
  const account = new QuotaAccount(options, 0)
  account.setLimit(1_000)
  const askedAt = clock.now()
  const report = account.report(askedAt)
  const grant = { units: 900, share: 1 }
  account.applyGrant(grant, report, account.totalSpent, askedAt, clock.now())
  expect(account.isFresh(clock.now())).toBe(true)
  clock.suspend()
  expect(account.isFresh(clock.now())).toBe(false)
  account.applyGrant(grant, report, account.totalSpent, askedAt, clock.now())
  expect(account.isFresh(clock.now())).toBe(false)
  account.applyGrant(grant, report, account.totalSpent, clock.now(), clock.now())
  expect(account.isFresh(clock.now())).toBe(true)
})
