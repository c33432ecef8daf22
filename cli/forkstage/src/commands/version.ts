import { VERSION } from '@forkstage/daemon'
import { EXIT, type Command } from '../cliTypes'
import { print } from '../print'

/** `forkstage version`. */
export const versionCommand: Command = {
  command: 'version',
  help: 'Print the version',
  options: (argv) => argv,
  async handler() {
    print(VERSION)
    return EXIT.ok
  },
}
