import { stringify } from 'smol-toml'
import type { Site } from './sites'

/** Settings by section and name; they replace the defaults of a deployment. */
export type SettingsOverrides = Record<string, Record<string, unknown>>

/** Options of {@link formatSettings}. */
export interface FormatSettingsOptions {
  site: Site
  box: { name: string; domain: string; control: boolean; dataFolder: string }
  listen: { callers: string; operators: string; peers: string; advertise: string }
  replicas: { box: string; address: string }[]
  sharedKey: string
  callerToken: string
  operatorToken: string
  platform?: string
  overrides: SettingsOverrides
}

/** Returns the text of the settings file (TOML) of one box. */
export function formatSettings(options: FormatSettingsOptions): string {
  const { site, box, listen, replicas, overrides, platform } = options
  const sections: Record<string, unknown> = {
    box: {
      name: box.name,
      domain: box.domain,
      roles: box.control ? ['entry', 'control'] : ['entry'],
      ...(box.control ? { data_folder: box.dataFolder } : {}),
    },
    listen: {
      callers: listen.callers,
      operators: listen.operators,
      peers: listen.peers,
      peers_advertise: listen.advertise,
    },
    peers: { shared_key: options.sharedKey, ...overrides.peers },
    control: { replicas, ...overrides.control },
    lease: { ...overrides.lease },
    journal: { ...overrides.journal },
    policy: {
      goodput_weight: site.goodputWeight,
      wasted_prefill_weight: site.wastedPrefillWeight,
      ...overrides.policy,
    },
    request: { ...overrides.request },
    stop: { unready_ms: 300, ...overrides.stop },
    models: [
      {
        name: site.model,
        service: site.modelService,
        context_tokens: 32_768,
        kv_bytes_per_token: site.kvBytesPerToken,
      },
    ],
    callers: [{ name: site.plainService, token: options.callerToken }],
    operators: [{ name: 'operator', token: options.operatorToken }],
    log: { level: 'info', ...overrides.log },
  }
  if (platform !== undefined) sections.platform = { members: platform }
  return stringify(sections)
}
