/** One machine of the soak. */
export interface SoakMachine {
  name: string
  role: 'entry' | 'control'
  /** A separate loopback address, since all machines use the same ports. */
  ip: string
  /** Failure domain of the machine. */
  zone: string
}

/** The failure domains: two, so that one remains during an evacuation. */
export const DOMAINS = ['z', 'y'] as const

/** Ports of every machine, by listener. */
export const PORTS = { callers: 8_144, readiness: 8_140, operators: 8_146, peers: 7_660 } as const

const LOSSES = 2
const GRACE_S = 4

/** Cold start: `cold_start_s` and `cold_per_s` of the sheet, `over` and `slack` of the settings. */
export const COLD = { startS: 2, perS: 2, over: 1.5, slack: 3 } as const

/**
 * Returns the text of the settings file (TOML) of a machine.
 * @param found whether the machine founds a new control group.
 */
export function machineSettings(
  machine: SoakMachine,
  seeds: string[],
  folder: string,
  found: boolean,
): string {
  const at = (port: number) => `"${machine.ip}:${port}"`
  const control = machine.role === 'control'
  return [
    '[machine]',
    `name = "${machine.name}"`,
    `role = "${machine.role}"`,
    `zone = "${machine.zone}"`,
    ...(control ? [`data_folder = "${folder}/${machine.name}"`] : []),
    '[listen]',
    ...(control
      ? [`operators = ${at(PORTS.operators)}`]
      : [`callers = ${at(PORTS.callers)}`, `readiness = ${at(PORTS.readiness)}`]),
    `peers = ${at(PORTS.peers)}`,
    '[peers]',
    'shared_key = "a soak on loopback only"',
    '[control]',
    `seeds = [${seeds.map((ip) => `"${ip}:${PORTS.peers}"`).join(', ')}]`,
    `found = ${found}`,
    `losses = ${LOSSES}`,
    '[stop]',
    `grace_s = ${GRACE_S}`,
    'unready_ms = 500',
    '[retry]',
    'share = 0.2',
    'slack = 50',
    '[cold]',
    `over = ${COLD.over}`,
    `slack = ${COLD.slack}`,
    '',
  ].join('\n')
}
