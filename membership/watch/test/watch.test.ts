import { describe, expect, it } from 'vitest'
import { ManualClock } from '@forkstage/clock'
import { Directory } from '@forkstage/directory'
import { NO_EVACUATIONS, UNKNOWN_INDEX } from '@forkstage/evacuation'
import { SHEET_METHOD, unpackSheet, WatchHub, type WatchedSheet, type WatchRequest } from '../src'
import { CONTROL, endpoint, createFollowerHarness, OTHER, settle } from './followerHarness'

function createHubHarness() {
  const clock = new ManualClock()
  const directory = new Directory()
  const state = {
    sheet: undefined as WatchedSheet | undefined,
    leader: undefined as string | undefined,
    evacuations: NO_EVACUATIONS,
    supposed: [] as string[],
  }
  const hub = new WatchHub({
    epoch: 'life-1',
    directory,
    sheet: () => state.sheet,
    evacuations: () => state.evacuations,
    supposedEvacuations: () => state.supposed,
    members: () => [CONTROL],
    leader: () => state.leader,
    clock,
  })
  const request = (fields: Partial<WatchRequest> = {}): WatchRequest => ({
    epoch: 'life-1',
    position: 0,
    sheetVersion: -1,
    evacuationIndex: -1,
    members: [CONTROL],
    holdMs: 1_000,
    ...fields,
  })
  return { clock, directory, state, hub, request }
}

describe('WatchHub', () => {
  it('holds a request while nothing changes, and answers when the hold time is over', async () => {
    const { clock, hub, request } = createHubHarness()
    let answered = false
    void hub.answer(request()).then(() => (answered = true))
    clock.advance(999)
    await settle()
    expect(answered).toBe(false)
    clock.advance(1)
    await settle()
    expect(answered).toBe(true)
  })

  it('answers at once when there is a new endpoint, a newer sheet or another leader', async () => {
    const { directory, state, hub, request } = createHubHarness()
    const endpoints = hub.answer(request())
    directory.merge([endpoint('i-1')])
    hub.notifyChange()
    expect(await endpoints).toMatchObject({ position: 1, endpoints: [{ id: 'i-1' }] })
    const sheet = hub.answer(request({ position: 1, sheetVersion: 4 }))
    state.sheet = { version: 5, text: 'five' }
    hub.notifyChange()
    expect(await sheet).toMatchObject({ sheetVersion: 5, endpoints: [] })
    expect(unpackSheet(hub.newestSheet()!)).toEqual({ version: 5, text: 'five' })
    state.leader = CONTROL
    expect(await hub.answer(request({ position: 1, sheetVersion: 5 }))).toMatchObject({ leader: CONTROL })
  })

  it('answers at once when the evacuated domains change, and sends them only to followers with an older set', async () => {
    const { clock, state, hub, request } = createHubHarness()
    const held = hub.answer(request({ evacuationIndex: 4 }))
    state.evacuations = { index: 7, domains: ['a'] }
    hub.notifyChange()
    expect((await held).evacuations).toEqual({ index: 7, domains: ['a'] })
    // Followers without support for evacuations send no index.
    const others = [7, 9, undefined].map((evacuationIndex) => hub.answer(request({ evacuationIndex })))
    clock.advance(1_000)
    for (const answer of await Promise.all(others)) expect(answer.evacuations).toBeUndefined()
  })

  it('sends domains that may be evacuated while it knows no set, also to a request that came before it had read its disk', async () => {
    const { clock, state, hub, request } = createHubHarness()
    const withoutSet = { evacuationIndex: UNKNOWN_INDEX }
    state.evacuations = { index: UNKNOWN_INDEX, domains: [] }
    const early = hub.answer(request(withoutSet))
    state.supposed = ['a']
    hub.notifyChange()
    expect((await early).supposedEvacuations).toEqual(['a'])
    // A follower that has a set gets no such domains.
    expect((await hub.answer(request({ epoch: 'life-0' }))).supposedEvacuations).toBeUndefined()
    let answered = false
    const held = hub.answer(request({ ...withoutSet, supposedEvacuations: ['a', 'b'] }))
    void held.then(() => (answered = true))
    clock.advance(900)
    await settle()
    expect(answered).toBe(false)
    state.evacuations = { index: 4, domains: ['a'] }
    hub.notifyChange()
    expect((await held).evacuations).toEqual({ index: 4, domains: ['a'] })
  })

  it('sends everything to a follower of another incarnation', async () => {
    const { directory, state, hub, request } = createHubHarness()
    directory.merge([endpoint('i-1'), endpoint('i-2')])
    state.sheet = { version: 5, text: 'five' }
    const answer = await hub.answer(request({ epoch: 'life-0', position: 99, sheetVersion: 5 }))
    expect(answer.endpoints.map(({ id }) => id)).toEqual(['i-1', 'i-2'])
  })

  it('counts the entries with a recent request and names others to each, in the order of the ring', async () => {
    const { clock, hub, request } = createHubHarness()
    const ask = (entry: string) => hub.answer(request({ entry, epoch: 'other' }))
    for (const entry of ['e1', 'e2', 'e3', 'e4', 'e5']) await ask(entry)
    expect(await ask('e4')).toMatchObject({ entries: 5, neighbours: ['e5', 'e1', 'e2', 'e3'] })
    clock.advance(16_000)
    expect(await ask('e1')).toMatchObject({ entries: 1, neighbours: [] })
  })

  // Guards against an entry whose neighbours are all in the failure domain that is cut off with it.
  it('names neighbours from all over the ring, and each entry to equally many others', async () => {
    const { hub, request } = createHubHarness()
    const entries = Array.from({ length: 24 }, (_, index) => `e${String(index).padStart(2, '0')}`)
    const ask = (entry: string) => hub.answer(request({ entry, epoch: 'other' }))
    for (const entry of entries) await ask(entry)
    const named = await Promise.all(entries.map(async (entry) => (await ask(entry)).neighbours ?? []))
    const thirdOf = (entry: string) => Math.floor(entries.indexOf(entry) / 8)
    for (const neighbours of named) {
      expect(new Set(neighbours).size).toBe(8)
      expect(new Set(neighbours.map(thirdOf)).size).toBe(3)
    }
    const counts = entries.map((entry) => named.filter((neighbours) => neighbours.includes(entry)).length)
    expect(Math.max(...counts)).toBe(8)
  })

  it('names neighbours again only once entries were added or removed, and to a follower of another incarnation', async () => {
    const { clock, hub, request } = createHubHarness()
    const first = await hub.answer(request({ entry: 'e1', epoch: 'other' }))
    const { ringVersion } = first
    const asked = request({ entry: 'e1', ringVersion, neighbourCount: 0, holdMs: 0 })
    const again = hub.answer(asked)
    clock.advance(1)
    expect(await again).not.toHaveProperty('neighbours')
    void hub.answer(request({ entry: 'e2', neighbourCount: 1 }))
    expect((await hub.answer(asked)).neighbours).toEqual(['e2'])
    const newest = (await hub.answer(request({ entry: 'e1', epoch: 'other', ringVersion }))).neighbours
    expect(newest).toEqual(['e2'])
  })

  // Guards against an entry that started first and knows no neighbour until its held request ends.
  it('answers a held request once another entry has started, until it has named enough', async () => {
    const { hub, request } = createHubHarness()
    let answer: string[] | undefined
    const held = hub.answer(request({ entry: 'e1', neighbourCount: 0 }))
    void held.then(({ neighbours }) => (answer = neighbours))
    await settle()
    expect(answer).toBeUndefined()
    void hub.answer(request({ entry: 'e2', neighbourCount: 1 }))
    expect((await held).neighbours).toEqual(['e2'])
  })
})

describe('ControlFollower', () => {
  it('keeps the neighbours that an answer omits', async () => {
    const { last, follower } = createFollowerHarness()
    last().answer({ neighbours: ['e2', 'e3'], ringVersion: 4 })
    await settle()
    expect(last().request).toMatchObject({ ringVersion: 4 })
    last().answer({ neighbours: undefined, ringVersion: 4 })
    await settle()
    expect(follower.neighbours()).toEqual(['e2', 'e3'])
  })

  it('continues from the position of the last answer, and follows members that an answer names', async () => {
    const { last, sheets, received, follower } = createFollowerHarness()
    last().answer({
      position: 7,
      sheetVersion: 3,
      endpoints: [endpoint('i-1')],
      members: [CONTROL, OTHER],
    })
    await settle()
    last(CONTROL, SHEET_METHOD).sheet({ version: 3, text: '' })
    await settle()
    expect(sheets).toEqual([3])
    expect(received).toEqual(['i-1'])
    expect(last().request).toMatchObject({ epoch: 'l', position: 7, sheetVersion: 3 })
    expect(follower.addresses()).toContain(OTHER)
    expect(last(OTHER).request).toMatchObject({ epoch: '', position: 0 })
  })

  it('keeps the newest evacuations of all machines when an outdated machine answers later', async () => {
    const { last, received } = createFollowerHarness()
    const members = [CONTROL, OTHER]
    expect(last().request.evacuationIndex).toBe(UNKNOWN_INDEX)
    last().answer({ members, evacuations: { index: 7, domains: ['a'] }, endpoints: [endpoint('i-1')] })
    await settle()
    // Evacuations are reported before the endpoints of the same answer.
    expect(received).toEqual(['evacuated: a', 'i-1'])
    expect(last().request.evacuationIndex).toBe(7)
    last(OTHER).answer({ members, evacuations: { index: 3, domains: ['b'] } })
    await settle()
    expect(received).toEqual(['evacuated: a', 'i-1'])
    expect(last(OTHER).request.evacuationIndex).toBe(7)
    last(OTHER).answer({ members, evacuations: { index: 9, domains: [] } })
    await settle()
    expect(received.at(-1)).toBe('evacuated: ')
  })

  it('sends the domains that may be evacuated until it has received a set', async () => {
    const { last, received } = createFollowerHarness()
    last().answer({ supposedEvacuations: ['a'], endpoints: [endpoint('i-1')] })
    await settle()
    expect(received).toEqual(['supposed: a', 'i-1'])
    expect(last().request).toMatchObject({ evacuationIndex: UNKNOWN_INDEX, supposedEvacuations: ['a'] })
    last().answer({ evacuations: { index: 4, domains: [] } })
    await settle()
    expect(received.at(-1)).toBe('evacuated: ')
    expect(last().request.supposedEvacuations).toBeUndefined()
  })

  it('fetches a newer sheet from one machine at a time, and from another one after a failure', async () => {
    const { clock, last, sheets, fetches } = createFollowerHarness()
    last().answer({ sheetVersion: 3, members: [CONTROL, OTHER] })
    await settle()
    last(OTHER).answer({ sheetVersion: 3, members: [CONTROL, OTHER] })
    await settle()
    expect(fetches()).toHaveLength(1)
    const [first] = fetches()
    last(first, SHEET_METHOD).fail()
    await settle()
    clock.advance(50)
    await settle()
    expect(fetches()).toHaveLength(2)
    const second = fetches()[1]!
    expect(second).not.toBe(first)
    last(second, SHEET_METHOD).sheet({ version: 4, text: '' })
    await settle()
    expect(sheets).toEqual([4])
    expect(fetches()).toHaveLength(2)
  })

  it('repeats requests after failures, and returns the leader that most machines name', async () => {
    const { clock, last, sent, follower } = createFollowerHarness()
    last().answer({ leader: OTHER, members: [CONTROL, OTHER] })
    await settle()
    expect(follower.leader()).toBe(OTHER)
    const before = sent.length
    last(OTHER).fail()
    await settle()
    clock.advance(200)
    await settle()
    expect(sent.length).toBe(before + 1)
    clock.advance(2_000)
    expect(follower.leader()).toBeUndefined()
  })

  it('trusts no answer from before a suspension, and repeats its requests at once', async () => {
    const { clock, last, received, follower } = createFollowerHarness()
    last().answer({ leader: OTHER, sheetVersion: -1 })
    await settle()
    const held = last()
    expect([follower.leader(), follower.isCurrent(), follower.hasAnswerSinceSuspension()]).toEqual([
      OTHER,
      true,
      true,
    ])
    clock.suspend()
    expect([follower.leader(), follower.isCurrent(), follower.hasAnswerSinceSuspension()]).toEqual([
      undefined,
      false,
      false,
    ])
    const repeated = last()
    expect(repeated.request.holdMs).toBe(0)
    // An answer from before the suspension arrives late. Its endpoints count, its leader does not.
    held.answer({ leader: OTHER, sheetVersion: -1, endpoints: [endpoint('i-1')] })
    await settle()
    expect([follower.leader(), follower.hasAnswerSinceSuspension(), received]).toEqual([
      undefined,
      false,
      ['i-1'],
    ])
    repeated.answer({ leader: CONTROL, sheetVersion: -1 })
    await settle()
    expect([follower.leader(), follower.isCurrent(), follower.hasAnswerSinceSuspension()]).toEqual([
      CONTROL,
      true,
      true,
    ])
  })

  it('is current while a control machine answers and none has named a newer sheet than the one in use', async () => {
    const { clock, last, follower } = createFollowerHarness()
    expect(follower.isCurrent()).toBe(false)
    last().answer({ sheetVersion: 3 })
    await settle()
    // A newer sheet was named but has not been fetched yet.
    expect(follower.isCurrent()).toBe(false)
    last(CONTROL, SHEET_METHOD).sheet({ version: 3, text: '' })
    await settle()
    expect(follower.isCurrent()).toBe(true)
    last().fail()
    await settle()
    expect(follower.isCurrent()).toBe(false)
    clock.advance(200)
    await settle()
    last().answer({ sheetVersion: 3 })
    await settle()
    expect(follower.isCurrent()).toBe(true)
    clock.advance(2_000)
    expect(follower.isCurrent()).toBe(false)
  })

  it('returns no leader that only itself names, such as one that has just crashed', async () => {
    const third = '10.0.0.3:1'
    const { last, follower } = createFollowerHarness()
    const members = [CONTROL, OTHER, third]
    last().answer({ leader: CONTROL, members })
    await settle()
    expect(follower.leader()).toBe(CONTROL)
    last(OTHER).answer({ leader: CONTROL, members })
    last(third).answer({ members })
    await settle()
    expect(follower.leader()).toBe(CONTROL)
    last(OTHER).answer({ members })
    await settle()
    expect(follower.leader()).toBeUndefined()
    last(OTHER).answer({ leader: third, members })
    last(third).answer({ leader: third, members })
    await settle()
    expect(follower.leader()).toBe(third)
  })
})
