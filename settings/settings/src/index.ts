/** Settings of a box. */
export { parseSettings } from './parseSettings'
export type { ParseSettingsOptions } from './parseSettings'
export { SettingsError } from './settingsError'
export type { SettingsFault } from './settingsError'
export { settingsSchema } from './schema'
export type { ModelSettings, Settings } from './schema'
export { advertisedAddress } from './advertisedAddress'
