import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { GatewayRetryBudget } from '../src'
import { SendCounter, type Arrival, type SendStep } from '../src/sendCounter'

/** A budget of the given number of repeated sendings, independent of the number of requests. */
function budgetOf(repeats: number): GatewayRetryBudget {
  const clock = new ManualClock()
  // Half of the slack is usable.
  return new GatewayRetryBudget({ clock, share: 0, slack: repeats * 2, windowMs: 10_000, entries: () => 1 })
}

function send(count: SendCounter, step: SendStep, arrival: Arrival): boolean {
  const sending = count.open(step)
  sending?.close(arrival)
  return sending !== undefined
}

const taken = { step: 'prefill', arrival: 'taken' } as const
const rejected = { step: 'prefill', arrival: 'rejected' } as const
const decoded = { step: 'decode', arrival: 'taken' } as const
const full = { step: 'decode', arrival: 'rejected' } as const

describe('SendCounter', () => {
  it.each([
    ['a separate prefill step and one run', [taken, decoded], 0],
    ['a run without a prefill step', [decoded], 0],
    ['a run after one that did not arrive', [{ step: 'decode', arrival: 'not-arrived' }, decoded], 0],
    ['a prefill step that was rejected', [rejected, decoded], 1],
    ['three engines without room in a row', [taken, full, full, full], 2],
    ['two prefill steps', [taken, full, taken, decoded], 2],
    ['a rejected prefill step, then an accepted one', [rejected, taken, decoded], 1],
  ] as const)('draws for %s', (_name, sendings, drawn) => {
    const budget = budgetOf(10)
    const count = new SendCounter(budget, 's')
    for (const { step, arrival } of sendings) expect(send(count, step, arrival)).toBe(true)
    expect(budget.counts.taken).toBe(drawn)
  })

  it('admits no repeated sending once the budget is used up, but the first run of each request', () => {
    const budget = budgetOf(1)
    const first = new SendCounter(budget, 's')
    expect(send(first, 'decode', 'rejected')).toBe(true)
    expect(send(first, 'decode', 'rejected')).toBe(true)
    expect(first.isLeft()).toBe(false)
    expect(send(first, 'decode', 'taken')).toBe(false)
    const second = new SendCounter(budget, 's')
    expect(send(second, 'prefill', 'taken')).toBe(true)
    expect(send(second, 'decode', 'taken')).toBe(true)
  })

  it('admits no more arrivals beyond the first run and prefill step of each request than the budget has', () => {
    const step = fc.constantFrom<SendStep>('prefill', 'decode')
    const arrival = fc.constantFrom<Arrival>('taken', 'rejected', 'not-arrived')
    const requests = fc.array(fc.array(fc.tuple(step, arrival), { maxLength: 8 }), { maxLength: 12 })
    fc.assert(
      fc.property(requests, fc.nat(6), (all, repeats) => {
        const budget = budgetOf(repeats)
        let beyond = 0
        for (const sendings of all) {
          const count = new SendCounter(budget, 's')
          const arrived = sendings.filter(([kind, end]) => send(count, kind, end) && end !== 'not-arrived')
          const hasRead = arrived.some(([kind, end]) => kind === 'prefill' && end === 'taken')
          beyond += Math.max(0, arrived.length - 1 - Number(hasRead))
        }
        expect(beyond).toBeLessThanOrEqual(repeats)
      }),
    )
  })
})
