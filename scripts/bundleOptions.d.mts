import type { BuildOptions } from 'esbuild'

export const programs: Record<string, string>
export const rolePrograms: { entry: string; control: string }
export const programOptions: BuildOptions
export const roleOptions: BuildOptions
