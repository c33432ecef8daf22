/** Fields of a heartbeat, each of which makes the heartbeat invalid by itself. */
export const INVALID_FIELDS = [
  { slots: 'many' },
  { state: 'resting' },
  { call_seq: null },
  { models: 7 },
  { born: '5' },
]
