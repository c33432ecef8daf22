/** What endpoints say in their answers of what they want from this machine. */
export { readRest } from './readRest'
export type { AnswerFields, Rest } from './readRest'
export { StatementBook } from './statementBook'
export type { StatementBookOptions } from './statementBook'
