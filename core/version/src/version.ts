/** The version of this program. */
export const VERSION = '0.1.0'
