import type { Millis } from '@forkstage/types'
import type { ModelControl } from './modelControl'
import type { ModelEntry } from './modelEntry'
import type { NetworkMachine } from './modelNetwork'
import type { OriginModel } from './originModel'

/** The share of streams that are taken up at an entry that is out of step, if there is one. */
const TAKEN_UP_OUT_OF_STEP = 0.7

/** Entries that are out of step at the moment. */
const outOfStep = new WeakMap<OriginModel, Set<ModelEntry>>()

function pick<One>({ random }: OriginModel, all: readonly One[]): One {
  return all[Math.floor(random() * all.length)]!
}

/** Starts engines of another version, sometimes registered at one control machine only, and sometimes ends them. */
export async function release(model: OriginModel, until: Millis): Promise<void> {
  const { random, clock } = model
  for (let version = 2; clock.now() < until; version += 1) {
    await model.delay(500 + random() * 2_500)
    const name = `v${version}`
    const ids = [`${name}-0`, `${name}-1`]
    const at = random() < 0.5 ? pick(model, model.controls) : undefined
    for (const id of ids) model.startEngine(id, name, at)
    await model.delay(300 + random() * 1_500)
    if (random() < 0.5) ids.forEach((id) => model.stopEngine(id, name))
  }
}

/** Begins streams at all entries, breaks them off and takes them up, most of them at entries that are out of step. */
export async function takeUp(model: OriginModel, until: Millis): Promise<void> {
  const { random, clock, entries } = model
  const follow = async () => {
    const stream = await model.beginStream(pick(model, entries))
    for (let attempt = 0; stream !== undefined && attempt < 3; attempt += 1) {
      await model.delay(10 + random() * 800)
      const late = [...(outOfStep.get(model) ?? [])]
      const entry =
        late.length > 0 && random() < TAKEN_UP_OUT_OF_STEP ? pick(model, late) : pick(model, entries)
      if (!entry.clock.isFrozen) await model.resume(stream, entry)
    }
  }
  while (clock.now() < until) {
    void follow()
    await model.delay(random() * 60)
  }
}

/** Draws one fault after another. */
export async function disturb(model: OriginModel, until: Millis): Promise<void> {
  const { random, clock, entries, controls } = model
  outOfStep.set(model, new Set())
  const faults = [cutEntry, cutEntry, strandEntry, freezeEntry, freezeEntry, restartEntry, disturbControl]
  while (clock.now() < until) {
    void pick(model, faults)(model, pick(model, entries), pick(model, controls))
    await model.delay(random() * 1_200)
  }
}

async function whileOutOfStep(
  model: OriginModel,
  entry: ModelEntry,
  run: () => Promise<void>,
): Promise<void> {
  const late = outOfStep.get(model)!
  late.add(entry)
  await run()
  late.delete(entry)
}

/** Cuts an entry off from some or all control machines and perhaps from other entries. */
async function cutEntry(model: OriginModel, entry: ModelEntry): Promise<void> {
  const { random, controls, entries, election } = model
  const leader = controls.filter(({ address }) => address === election.leader)
  const fewer = controls.filter(() => random() < 0.7)
  const from: NetworkMachine[] = [...pick(model, [controls, controls, leader, fewer])]
  if (random() < 0.6) from.push(...entries.filter((one) => one !== entry))
  await whileOutOfStep(model, entry, () => cutAll(model, [entry], from))
}

/** Leaves an entry with one control machine, which is cut off from the others too and has old news. */
async function strandEntry(model: OriginModel, entry: ModelEntry, control: ModelControl): Promise<void> {
  const { entries, controls } = model
  const others = [...entries.filter((one) => one !== entry), ...controls.filter((one) => one !== control)]
  await whileOutOfStep(model, entry, () => cutAll(model, [entry, control], others))
}

async function cutAll(model: OriginModel, some: NetworkMachine[], others: NetworkMachine[]): Promise<void> {
  const { random } = model
  const kind = random() < 0.6 ? 'silent' : 'reset'
  const direction = pick(model, ['both', 'both', 'in', 'out'] as const)
  some.forEach((one) => others.forEach((other) => model.cut(one, other, kind, direction)))
  await model.delay(300 + random() * 4_000)
  some.forEach((one) => others.forEach((other) => model.heal(one, other)))
}

/** Freezes an entry; streams that it has not begun are taken up there as its first event. */
async function freezeEntry(model: OriginModel, entry: ModelEntry): Promise<void> {
  const { random, entries } = model
  if (entry.clock.isFrozen) return
  const others = entries.filter((one) => one !== entry && !one.clock.isFrozen)
  entry.clock.freeze()
  const frozenMs = 100 + random() * 3_500
  await model.delay(frozenMs * random())
  const streams = await Promise.all(others.map((one) => model.beginStream(one)))
  await model.delay(frozenMs * 0.5)
  await whileOutOfStep(model, entry, async () => {
    entry.clock.thaw(random() < 0.4, () => {
      for (const stream of streams) if (stream !== undefined) void model.resume(stream, entry)
    })
    await model.delay(300)
  })
}

function restartEntry(model: OriginModel, entry: ModelEntry): Promise<void> {
  if (!entry.clock.isFrozen) entry.start()
  return whileOutOfStep(model, entry, () => model.delay(500))
}

/** Freezes, restarts or cuts off a control machine, or has another one lead. */
async function disturbControl(model: OriginModel, _entry: ModelEntry, control: ModelControl): Promise<void> {
  const { random, controls, election } = model
  const others = controls.filter((one) => one !== control)
  const kind = random()
  if (kind < 0.3) return cutAll(model, [control], others)
  if (kind < 0.5) return election.handOver()
  if (control.clock.isFrozen) return
  if (kind < 0.75) return control.start()
  control.clock.freeze()
  await model.delay(100 + random() * 3_000)
  control.clock.thaw(false, () => undefined)
}
