/** What endpoints say in their answers of what they want from this machine. */
export { flatFields } from './flatFields'
export { readRest } from './readRest'
export type { AnswerFields, Rest } from './readRest'
export { ASKED_FOR_REST, LEAVING_TAKES_MS, SAYS_IT_LEAVES, StatementBook } from './statementBook'
export type { Bound, StatementBookOptions } from './statementBook'
