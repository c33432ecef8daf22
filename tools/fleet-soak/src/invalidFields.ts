/** What makes a statement one that says nothing of an endpoint to use, each by itself. */
export const INVALID_FIELDS = [
  { slots: 'many' },
  { state: 'resting' },
  { call_seq: null },
  { models: 7 },
  { born: '5' },
]
