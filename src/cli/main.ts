/** `aldertide`: the daemons and the operators' tools. */
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
  .describe('Run a control replica: it keeps ownership and configuration on its disk.')
  .option('--settings', 'Settings file (YAML)')
  .action(
    async (options: Options) => await runDaemon('control', options, controlSettingsSchema, startControl),
  );

program
  .command('agent')
  .describe('Run the agent beside a back end: it holds its session and its grants.')
  .option('--settings', 'Settings file (YAML)')
  .action(async (options: Options) => await runDaemon('agent', options, agentSettingsSchema, startAgent));

program
  .command('router')
  .describe('Run a router: it takes requests to the back ends that own their keys.')
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
  .option('--submission-id', 'Name of this submission; a resend under the same name gets the first answer')
  .option('--base-revision', 'Revision that the change was made on; the one in force when left out')
  .action(async (file: string, options: Options) => await applyCommand(file, options));

withOperatorOptions(
  program.command('plan <file>').describe('Show what a configuration would do before it is submitted.'),
)
  .option('--snapshot', 'State to plan on, as `GET /v1/snapshot` gives it, in place of the live one')
  .action(async (file: string, options: Options) => await planCommand(file, options));

withOperatorOptions(program.command('get').describe('Print the configuration in force.')).action(
  async (options: Options) => await getCommand(options),
);

withOperatorOptions(
  program.command('status').describe('Show replicas, services, back ends and daemons.'),
).action(async (options: Options) => await statusCommand(options));

withOperatorOptions(program.command('drain <backend>').describe('Move everything off a back end.'))
  .option('--undo', 'Take the back end back into service')
  .action(async (backend: string, options: Options) => await drainCommand(backend, options));

withOperatorOptions(
  program.command('evacuate <zone>').describe('Move everything off all back ends of a zone.'),
)
  .option('--end', 'Take the zone back into service')
  .action(async (zone: string, options: Options) => await evacuateCommand(zone, options));

withOperatorOptions(
  program
    .command('quarantine [fingerprint]')
    .describe('Show the requests under which back ends end, or give one of them another chance.'),
)
  .option('--reopen', 'Let it run once more; three runs may follow its third end')
  .option('--forget', 'Hold nothing against it any more; it may end three back ends again')
  .action(async (fingerprint: string | undefined, options: Options) => {
    return await quarantineCommand(fingerprint, options);
  });

program
  .command('replay <file>')
  .describe('Step through a simulation that was written by `aldertide-lab sim --trace`.')
  .option('--json', 'Print one JSON object in place of the trace')
  .action(async (file: string, options: Options) => {
    // The simulator is part of the lab; daemons never load it.
    const { replayFile } = await import('../../lab/sim/replay-command.js');
    return await replayFile(file, options['json'] === true);
  });

program
  .command('explain <request> [files...]')
  .describe("Find a request's path and the cause of its end in the daemons' logs.")
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
