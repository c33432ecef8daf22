import type { Argv } from 'yargs'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'

interface OrderArguments extends BoxArguments {
  endpoint: string
  action: string
  argument: string
}

/** `forkstage order`. */
export const orderCommand: Command<OrderArguments> = {
  command: 'order <endpoint> <action> <argument>',
  help: 'Send a fenced order to an engine: loadModel, loadAdapter, setVersion or setRole',
  options: (argv: Argv) =>
    withBox(argv)
      .positional('endpoint', { type: 'string', demandOption: true })
      .positional('action', {
        type: 'string',
        demandOption: true,
        choices: ['loadModel', 'loadAdapter', 'setVersion', 'setRole'],
      })
      .positional('argument', { type: 'string', demandOption: true })
      .example('$0 order kelem-p1 loadModel kelem-7b', 'prints the fence of the order'),
  async handler(args) {
    const { endpoint, action, argument } = args
    const { fence } = await callBox<{ fence: number }>(args, '/v1/orders', {
      method: 'POST',
      body: { endpoint, action, argument },
    })
    print(args.json ? JSON.stringify({ fence }) : `accepted with fence ${fence}`)
    return EXIT.ok
  },
}
