import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'

/** `forkstage stop`. */
export const stopCommand: Command<BoxArguments> = {
  command: 'stop',
  help: 'Stop a box as planned: report not ready, finish all requests, exit',
  options: (argv) =>
    withBox(argv).example('$0 stop --box 127.0.0.1:7101', 'a second stop aborts running requests'),
  async handler(args) {
    await callBox(args, '/v1/stop', { method: 'POST' })
    print(`${args.box} is stopping`)
    return EXIT.ok
  },
}
