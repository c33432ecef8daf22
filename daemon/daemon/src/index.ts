/** One box. */
export { BoxDaemon } from './boxDaemon'
export { VERSION } from './version'
