import type { Message, Snapshot } from '@forkstage/raft'

interface WireSnapshot {
  meta: Snapshot['meta']
  data: string
}

/** Converts a message to a form that JSON can represent: the data of a snapshot becomes base64. */
export function encodeMessage(message: Message): unknown {
  if (message.type !== 'snapshot') return message
  return { ...message, snapshot: encodeSnapshot(message.snapshot) }
}

/** The reverse of {@link encodeMessage}. */
export function decodeMessage(wire: unknown): Message {
  const message = wire as Message
  if (message.type !== 'snapshot') return message
  const { meta, data } = message.snapshot as unknown as WireSnapshot
  return { ...message, snapshot: { meta, data: Buffer.from(data, 'base64') } }
}

function encodeSnapshot(snapshot: Snapshot): WireSnapshot {
  return { meta: snapshot.meta, data: Buffer.from(snapshot.data).toString('base64') }
}
