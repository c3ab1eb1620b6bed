/** Command line `aldertide`: daemons and operator tools. */
import sade from 'sade';
import {
  agentSettingsSchema,
  controlSettingsSchema,
  routerSettingsSchema,
} from '../config/daemon-settings.js';
import { Ok } from '../result.js';
import { RouterNode } from '../router/router-node.js';
import { startAgent } from './agent-daemon.js';
import { runCommandLine, type Options } from './command-line.js';
import { startControl } from './control-daemon.js';
import { runDaemon } from './daemon-command.js';
import { explainCommand } from './explain-command.js';
import { planCommand } from './plan-command.js';
import {
  applyCommand,
  checkCommand,
  drainCommand,
  evacuateCommand,
  getCommand,
  quarantineCommand,
  statusCommand,
} from './operator-commands.js';

const VERSION = '0.1.0';

const program = sade('aldertide').version(VERSION);

program
  .command('control')
  .describe('Run a control replica, which stores ownership and configuration on its disk.')
  .option('--settings', 'Settings file (YAML)')
  .action(
    async (options: Options) => await runDaemon('control', options, controlSettingsSchema, startControl),
  );

program
  .command('agent')
  .describe('Run the agent of a back end, which maintains its session and grants.')
  .option('--settings', 'Settings file (YAML)')
  .action(async (options: Options) => await runDaemon('agent', options, agentSettingsSchema, startAgent));

program
  .command('router')
  .describe('Run a router, which forwards requests to the back ends that own their keys.')
  .option('--settings', 'Settings file (YAML)')
  .action(async (options: Options) => {
    return await runDaemon('router', options, routerSettingsSchema, async (settings, token, logger) => {
      const node = await RouterNode.start(settings, token, logger);
      return node.err ? node : Ok({ stop: async () => await node.val.stop(settings.drainMs) });
    });
  });

program
  .command('check <file>')
  .describe('Check a configuration file; all problems are reported at once.')
  .option('--json', 'Print one JSON object')
  .action(async (file: string, options: Options) => await checkCommand(file, options));

withOperatorOptions(program.command('apply <file>').describe('Submit a configuration file.'))
  .option('--submission-id', 'Id of this submission; a retry with the same id gets the first answer')
  .option('--base-revision', 'Revision that the change is based on (default: the one in force)')
  .action(async (file: string, options: Options) => await applyCommand(file, options));

withOperatorOptions(
  program.command('plan <file>').describe('Show what a configuration would do before it is submitted.'),
)
  .option('--snapshot', 'File with the answer of `GET /v1/snapshot`, used instead of the live state')
  .action(async (file: string, options: Options) => await planCommand(file, options));

withOperatorOptions(program.command('get').describe('Print the configuration in force.')).action(
  async (options: Options) => await getCommand(options),
);

withOperatorOptions(
  program.command('status').describe('Show replicas, services, back ends and daemons.'),
).action(async (options: Options) => await statusCommand(options));

withOperatorOptions(program.command('drain <backend>').describe('Move all shards off a back end.'))
  .option('--undo', 'Return the back end to service')
  .action(async (backend: string, options: Options) => await drainCommand(backend, options));

withOperatorOptions(
  program.command('evacuate <zone>').describe('Move all shards off the back ends of a zone.'),
)
  .option('--end', 'Return the zone to service')
  .action(async (zone: string, options: Options) => await evacuateCommand(zone, options));

withOperatorOptions(
  program
    .command('quarantine [fingerprint]')
    .describe('List the requests that crash back ends, or change the record of one of them.'),
)
  .option('--reopen', 'Permit one more run; three runs may follow its third crash')
  .option('--forget', 'Discard its record; it may then crash three back ends again')
  .action(async (fingerprint: string | undefined, options: Options) => {
    return await quarantineCommand(fingerprint, options);
  });

program
  .command('replay <file>')
  .describe('Step through a simulation trace written by `aldertide-lab sim --trace`.')
  .option('--json', 'Print one JSON object instead of the trace')
  .action(async (file: string, options: Options) => {
    // Imported on demand: the simulator is part of the lab, which daemons never load.
    const { replayFile } = await import('../../lab/sim/replay-command.js');
    return await replayFile(file, options['json'] === true);
  });

program
  .command('explain <request> [files...]')
  .describe("Determine the path of a request and the cause of its outcome from the daemons' logs.")
  .option('--json', 'Print one JSON object')
  .action((request: string, file: string | undefined, options: Options & { _: readonly string[] }) => {
    const files = file === undefined ? [] : [file, ...options._];
    return explainCommand(request, files, options['json'] === true);
  });

await runCommandLine(program);

function withOperatorOptions(command: sade.Sade): sade.Sade {
  return command
    .option('--control', 'Operator addresses of the control replicas, as host:port,host:port')
    .option('--token-file', "File with the cluster's shared token")
    .option('--json', 'Print one JSON object');
}
