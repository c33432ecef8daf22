import type { Argv } from 'yargs'
import { EXIT, type Command } from '../cliTypes'
import { orderEvacuation, withControl, type ControlArguments } from '../controlClient'
import { print } from '../print'

interface EvacuateArguments extends ControlArguments {
  domain: string
  withdraw: boolean
}

/** `forkstage evacuate`. */
export const evacuateCommand: Command<EvacuateArguments> = {
  command: 'evacuate <domain>',
  help: 'Stop sending requests to the endpoints of a failure domain, or withdraw that',
  options: (argv: Argv) =>
    withControl(argv)
      .positional('domain', { type: 'string', demandOption: true })
      .option('withdraw', {
        type: 'boolean',
        default: false,
        describe: 'send requests to its endpoints again',
      })
      .example('$0 evacuate zone-a --control 10.0.0.1:9001 10.0.0.2:9001', 'running requests are not aborted')
      .example('$0 evacuate zone-a --withdraw', 'its endpoints may be cold and have empty prefix caches'),
  async handler({ domain, withdraw, control, json }) {
    const result = await orderEvacuation(control, domain, !withdraw)
    const state = withdraw ? 'not evacuated' : 'evacuated'
    const was = result.outcome === 'held' ? ', as before' : ''
    print(json ? JSON.stringify(result) : `${domain} is ${state}${was} (index ${result.index})`)
    return EXIT.ok
  },
}
