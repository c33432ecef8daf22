/** The daemon of one box. */
export { BoxDaemon } from './boxDaemon'
export { VERSION } from '@forkstage/version'
