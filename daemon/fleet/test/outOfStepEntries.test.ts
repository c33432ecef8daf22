import { beforeEach, describe, expect, it } from 'vitest'
import { createSeededRandom } from '@forkstage/clock'
import type { ModelControl } from './modelControl'
import type { ModelEntry } from './modelEntry'
import type { CutKind, NetworkMachine } from './modelNetwork'
import { OriginModel, type CutDirection, type ModelStream } from './originModel'

/* Guards against streams of two versions that are taken up at an entry which missed a release. */

/** Long enough for what is in contact to hear of a registration. */
const HEARD_MS = 30
/** Longer than any call that was held when a cut began. */
const NOTICED_MS = 2_500
const STREAMS = 8

let model: OriginModel
let outOfStep: ModelEntry
let other: ModelEntry
beforeEach(async () => {
  model = new OriginModel(createSeededRandom(1))
  await model.begin()
  ;[outOfStep, other] = model.entries as [ModelEntry, ModelEntry]
})

function cutFrom(others: NetworkMachine[], kind: CutKind, direction?: CutDirection): void {
  others.forEach((one) => model.cut(outOfStep, one, kind, direction))
}

function leader(): ModelControl {
  return model.controls.find(({ address }) => address === model.election.leader)!
}

const followers = () => model.controls.filter((one) => one !== leader())
const allMachines = () => [...model.controls, ...model.entries]
const allOthers = () => allMachines().filter((one) => one !== outOfStep)

/** Starts an engine of another version and begins a stream there. */
async function beginNewVersion(entry: ModelEntry, at?: ModelControl): Promise<ModelStream> {
  model.startEngine('v2-0', 'v2', at)
  await model.run(HEARD_MS)
  return beginUntil(entry)
}

/** Begins streams until one runs at the new version. */
async function beginUntil(entry: ModelEntry): Promise<ModelStream> {
  for (;;) {
    let begun: ModelStream | undefined
    let isOver = false
    void model.beginStream(entry).then((stream) => {
      begun = stream
      isOver = true
    })
    while (!isOver) await model.run(HEARD_MS)
    if (begun?.versions.has('v2')) return begun
  }
}

async function resume(stream: ModelStream, entry = outOfStep): Promise<string> {
  const outcome = model.resume(stream, entry)
  await model.run(4_000)
  return outcome
}

describe('an entry that missed a release joins no streams of two versions', () => {
  it.each(['silent', 'reset'] as const)('while it is cut off from all machines (%s)', async (kind) => {
    cutFrom(allOthers(), kind)
    const stream = await beginNewVersion(other)
    expect(await resume(stream)).toBe('no-leader')
    expect(model.violations).toEqual([])
  })

  it.each(['in', 'out'] as const)('while it is cut off in one direction (%s)', async (direction) => {
    cutFrom(allOthers(), 'silent', direction)
    const stream = await beginNewVersion(other)
    expect(await resume(stream)).toBe('no-leader')
    expect(model.violations).toEqual([])
  })

  it('while it reaches only a control machine that is cut off from the others', async () => {
    const [stranded] = followers()
    for (const one of allOthers().filter((machine) => machine !== stranded)) {
      model.cut(outOfStep, one, 'silent')
      model.cut(stranded!, one, 'silent')
    }
    await model.run(NOTICED_MS)
    const stream = await beginNewVersion(other, leader())
    expect(await resume(stream)).toBe('no-leader')
    expect(model.violations).toEqual([])
  })

  it('where its first event after a freeze is a resumed stream and nobody answers', async () => {
    outOfStep.clock.freeze()
    const stream = await beginNewVersion(other)
    await model.run(NOTICED_MS)
    cutFrom(allOthers(), 'reset')
    let outcome: Promise<string> | undefined
    outOfStep.clock.thaw(false, () => (outcome = model.resume(stream, outOfStep)))
    await model.run(4_000)
    expect(await outcome).toBe('no-leader')
    expect(model.violations).toEqual([])
  })
})

describe('a leader that missed a release joins no streams of two versions', () => {
  it('where it was cut off until it was elected, and the entry that began them has ended', async () => {
    const [apart, third] = followers() as [ModelControl, ModelControl]
    const former = leader()
    ;[...model.controls, ...model.entries]
      .filter((one) => one !== apart)
      .forEach((one) => model.cut(apart, one, 'reset'))
    await model.run(NOTICED_MS)
    const stream = await beginNewVersion(other, former)
    other.clock.freeze()
    former.clock.freeze()
    ;[...model.controls, ...model.entries]
      .filter((one) => one !== apart)
      .forEach((one) => model.heal(apart, one))
    model.election.elect(third.address)
    expect(model.election.leader).toBe(apart.address)
    await resume(stream)
    expect(model.violations).toEqual([])
  })
})

describe('an entry and a control machine that are cut off from the others join no streams of two versions', () => {
  /** Begins streams at the entry that is cut off, and takes each up at another one. */
  async function beginAndResume(): Promise<void> {
    for (let count = 0; count < STREAMS; count += 1) {
      const begun = model.beginStream(other)
      await model.run(1_000)
      const stream = (await begun)!
      expect([...stream.versions]).toEqual(['v1'])
      void model.resume(stream, outOfStep)
      await model.run(HEARD_MS)
    }
  }

  it.each(['before', 'while'])('where a version registers there %s the cut is noticed', async (when) => {
    const [apart] = followers()
    for (const one of [...model.controls, ...model.entries])
      for (const alone of [apart!, other]) if (one !== apart && one !== other) model.cut(alone, one, 'silent')
    if (when === 'while') await model.run(NOTICED_MS)
    model.startEngine('v2-0', 'v2', apart)
    await beginAndResume()
    expect(model.violations).toEqual([])
    allMachines().forEach((one) => [apart!, other].forEach((alone) => model.heal(alone, one)))
    await model.run(NOTICED_MS)
    const stream = await beginUntil(other)
    await resume(stream)
    expect(model.violations).toEqual([])
  })

  it('where the version registers there alone and the entry reaches all machines but that one', async () => {
    const [apart] = followers()
    model.controls.filter((one) => one !== apart).forEach((one) => model.cut(apart!, one, 'silent'))
    await model.run(NOTICED_MS)
    model.startEngine('v2-0', 'v2', apart)
    await beginAndResume()
    expect(model.violations).toEqual([])
  })
})
