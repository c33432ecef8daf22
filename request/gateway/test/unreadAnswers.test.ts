import { describe, expect, it } from 'vitest'
import { answers, startRelay } from './relayHarness'

const MIB = 1024 * 1024
const SOURCE = { pause: () => undefined, resume: () => undefined }

/** Whole answers that their callers have not read. */
interface Unread {
  count: number
  bytes: number
}

async function startWithUnread({ count, bytes }: Unread) {
  const { harness } = await startRelay([[undefined, answers]])
  const unread = Array.from({ length: count }, () => harness.answerMemory.open(SOURCE))
  for (const held of unread) {
    held.hold(bytes)
    held.complete()
  }
  return { harness, unread }
}

describe('answers that nobody reads', () => {
  // Guards against memory that grows by each request of callers that never read, since a whole answer cannot wait.
  it('have further requests refused, as not run, until they are read', async () => {
    const { harness, unread } = await startWithUnread({ count: 1_500, bytes: 64 * 1024 })
    const refused = await harness.send('/p/a')
    expect(refused).toMatchObject({ status: 503 })
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0)
    unread.forEach((held) => held.release())
    expect(await harness.send('/p/a')).toMatchObject({ status: 200 })
  })

  it('hold up no other request while they are few', async () => {
    const { harness } = await startWithUnread({ count: 2, bytes: 16 * MIB })
    expect(await harness.send('/p/a')).toMatchObject({ status: 200 })
  })
})
