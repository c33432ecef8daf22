/** The version of the program. */
export { VERSION } from './version'
