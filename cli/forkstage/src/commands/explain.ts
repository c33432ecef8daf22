import type { Argv } from 'yargs'
import type { Explanation } from '@forkstage/operator-api'
import { EXIT, type BoxArguments, type Command } from '../cliTypes'
import { callBox, withBox } from '../operatorClient'
import { print } from '../print'

interface ExplainArguments extends BoxArguments {
  request: string
}

/** `forkstage explain`. */
export const explainCommand: Command<ExplainArguments> = {
  command: 'explain <request>',
  help: 'Show how a request was handled across boxes',
  options: (argv: Argv) =>
    withBox(argv)
      .positional('request', {
        type: 'string',
        demandOption: true,
        describe: 'the id from the header x-forkstage-request',
      })
      .example('$0 explain bole-1~3f2a~k', 'claim, decisions, attempts, releases'),
  async handler(args) {
    const explanation = await callBox<Explanation>(args, `/v1/explain/${encodeURIComponent(args.request)}`)
    if (args.json) print(JSON.stringify(explanation, null, 2))
    else printExplanation(explanation)
    return explanation.story.length > 0 || explanation.claim !== undefined ? EXIT.ok : EXIT.failed
  },
}

function printExplanation({ request, claim, story, missing }: Explanation): void {
  print(`request ${request}`)
  if (claim === undefined) print('claim: none in the journal')
  else
    print(
      `claim: epoch ${claim.epoch}, owner ${claim.owner.box}, ${claim.outcome === undefined ? 'open' : `outcome ${claim.outcome.execution} ${claim.outcome.status}`}`,
    )
  const first = story[0]?.at ?? 0
  for (const line of story)
    print(
      `${`+${line.at - first} ms`.padStart(10)}  ${line.box.padEnd(10)} ${line.step.padEnd(20)} ${JSON.stringify(line.detail)}`,
    )
  if (story.length === 0) print('no box has a trace of this request (any more)')
  for (const box of missing) print(`${box} did not answer: its entries are missing`)
}
