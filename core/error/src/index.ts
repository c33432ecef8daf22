/** The error base class of the project. */
export { ForkstageError, InvariantError, assertInvariant, toErrorBody } from './forkstageError'
export type { ErrorBody, ErrorOrigin } from './forkstageError'
