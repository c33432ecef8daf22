/** One machine of the soak. */
export interface SoakMachine {
  name: string
  role: 'entry' | 'control'
  /** Its own loopback address, since every machine uses the same ports. */
  ip: string
  /** Its failure domain. */
  zone: string
}

/** The failure domains; an evacuation leaves one of them at least. */
export const DOMAINS = ['z', 'y'] as const

/** The ports that every machine uses. */
export const PORTS = { callers: 8_144, readiness: 8_140, operators: 8_146, peers: 7_660 } as const

const LOSSES = 2
const GRACE_S = 4

/** How cold stand-ins are: what the sheet says, and what the settings let pass beside it. */
export const COLD = { startS: 2, perS: 2, over: 1.5, slack: 3 } as const

/** The settings file of a machine. */
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
