/** Answers to failed requests of an HTTP application, as JSON. */
export { answerErrorsAsJson } from './answerErrorsAsJson'
export type { JsonErrorOptions } from './answerErrorsAsJson'
