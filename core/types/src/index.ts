/** Types shared by more than one package. */
export type * from './names'
export type * from './table'
