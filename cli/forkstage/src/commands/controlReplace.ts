import type { Argv } from 'yargs'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'

interface ReplaceArguments extends BoxArguments {
  lost: string
  with: string
}

const REPLACE_TIMEOUT_MS = 130_000

/** `forkstage control replace`. */
export const controlReplaceCommand: Command<ReplaceArguments> = {
  command: 'control replace',
  help: "Replace a lost box's replicas by those of another box, one step at a time",
  options: (argv: Argv) =>
    withBox(argv)
      .option('lost', {
        type: 'string',
        demandOption: true,
        describe: 'the name of the box whose disk is lost',
      })
      .option('with', {
        type: 'string',
        demandOption: true,
        describe: 'the peer address of the box that replaces it',
      })
      .example('$0 control replace --lost bole-1 --with 127.0.0.1:7204', 'may be run again after a failure'),
  async handler(args) {
    const body = { lost: args.lost, withAddress: args.with }
    const replaced = await callBox(args, '/v1/control/replace', {
      method: 'POST',
      body,
      timeoutMs: REPLACE_TIMEOUT_MS,
    })
    print(JSON.stringify(replaced, null, args.json ? 0 : 2))
    return EXIT.ok
  },
}
