import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'

/** `forkstage stop`. */
export const stopCommand: Command<BoxArguments> = {
  command: 'stop',
  help: 'Stop a box as planned: unready first, then every request ends, then it exits',
  options: (argv) => withBox(argv).example('$0 stop --box 127.0.0.1:7101', 'a second stop cuts short'),
  async handler(args) {
    await callBox(args, '/v1/stop', { method: 'POST' })
    print(`${args.box} is stopping`)
    return EXIT.ok
  },
}
