/** `aldertide-lab`: stand-ins, load, fleets and the other means of proof. */
import sade from 'sade';
import { runCommandLine, type Options } from '../../src/cli/command-line.js';
import { backendCommand } from './backend-command.js';
import { benchCommand } from './bench-command.js';
import { chainCommand } from './chain-command.js';
import { changeSoakCommand } from './change-soak-command.js';
import { demoCommand, fleetFaultsCommand, fleetRunCommand, fleetUpCommand } from './fleet-commands.js';
import { guardsCommand } from './guards-command.js';
import { largeSoakCommand } from './large-soak-command.js';
import { loadCommand } from './load-command.js';
import { requestCostCommand } from './request-cost-command.js';
import { routerBenchCommand } from './router-bench-command.js';
import { slopesCommand } from './slopes-command.js';
import { plannedSoakCommand } from './planned-soak-command.js';
import { soakCommand } from './soak-command.js';
import { simCommand, simListCommand } from './sim-commands.js';

const VERSION = '0.1.0';

const program = sade('aldertide-lab').version(VERSION);

program
  .command('backend')
  .describe('Run a stand-in for a stateful server.')
  .option('--name', 'Name in the configuration')
  .option('--service', 'Service that it belongs to')
  .option('--host', 'IP address to listen on', '127.0.0.1')
  .option('--port', 'Port to listen on')
  .option('--slots', 'Requests that it works on at a time', 6)
  .option('--work-ms', 'Mean time of a request, in ms', 3)
  .option('--cold-ms', 'Time after the start in which requests take longer, in ms', 0)
  .option('--cold-factor', 'How many times longer they take then', 1)
  .option('--repeat-horizon-ms', 'Time within which callers repeat a request, in ms', 30_000)
  .option('--health', 'What the health endpoint tells: honest, lagging or misleading', 'honest')
  .option('--seed', 'Seed of the random numbers', 1)
  .option('--journal', 'File for the execution journal')
  .action(async (options: Options) => await backendCommand(options));

program
  .command('load')
  .describe('Run open-loop callers against routers.')
  .option('--settings', 'File that says what to do (JSON)')
  .option('--summary', 'File for the sums (JSON)')
  .action(async (options: Options) => await loadCommand(options));

program
  .command('fleet run <deployment>')
  .describe('Run a deployment under load and faults, and judge every promise.')
  .option('--seconds', 'Time under load', 10)
  .option('--seed', 'Seed of load and faults', 1)
  .option('--fault', 'Fault to bring about, as NAME or NAME@SECOND; may be given more than once')
  .option('--rate-factor', "Factor on the deployment's rates", 1)
  .option('--folder', 'Folder for settings, logs and journals')
  .option('--json', 'Print one JSON object as the last line')
  .action(async (file: string, options: Options) => await fleetRunCommand(file, options));

program
  .command('fleet up <deployment>')
  .describe('Start a deployment and keep it up until it is interrupted.')
  .option('--folder', 'Folder for settings, logs and journals')
  .option('--seed', 'Seed of the stand-ins', 1)
  .action(async (file: string, options: Options) => await fleetUpCommand(file, options));

program
  .command('fleet faults')
  .describe('List the faults that `fleet run` can bring about.')
  .option('--json', 'Print one JSON object')
  .action((options: Options) => fleetFaultsCommand(options));

program
  .command('sim')
  .describe('Run simulations of the real daemons on virtual time, over scenarios and seeds.')
  .option('--scenario', 'Scenario, or all', 'all')
  .option('--seeds', 'Range of seeds', '1-20')
  .option('--seed', 'One seed in place of a range')
  .option('--trace', 'With --seed: file to write for `aldertide replay`')
  .option('--json', 'Print one JSON object as the last line')
  .action(async (options: Options) => await simCommand(options));

program
  .command('sim list')
  .describe('List the scenarios and the lines of the brief that they provoke.')
  .option('--json', 'Print one JSON object')
  .action((options: Options) => simListCommand(options));

program
  .command('chain')
  .describe('Play services that call each other under load, with the real choice, forwarding and admission.')
  .option('--seeds', 'Seeds from 1 to this', 3)
  .option('--load', 'Factor on the usual traffic', 1)
  .option('--seconds', 'Length of the traffic', 12)
  .option('--without', 'Mechanisms that are left out, separated by commas', '')
  .option('--json', 'Print one JSON object')
  .action(async (options: Options) => await chainCommand(options));

program
  .command('guards')
  .describe('Show that each guard is needed: leave it out, and name the seed that breaks a promise.')
  .option('--json', 'Print one JSON object')
  .action(async (options: Options) => await guardsCommand(options));

program
  .command('slopes')
  .describe('Measure what one more renewal, shard, change and log entry cost.')
  .option('--json', 'Print one JSON object')
  .action(async (options: Options) => await slopesCommand(options));

program
  .command('router-bench')
  .describe('Measure a router beside direct connections in one run.')
  .option('--seconds', 'Length of each stretch', 4)
  .option('--json', 'Print one JSON object as the last line')
  .action(async (options: Options) => await routerBenchCommand(options));

program
  .command('request-cost')
  .describe(
    'Measure processor time, system calls and wake-ups of sidecars for each request, over builds in turn.',
  )
  .option('--programs', 'Bundled programs, separated by commas', 'target/aldertide.cjs')
  .option('--rounds', 'Runs of each program', 3)
  .option('--seconds', 'Measured time of each run', 10)
  .option('--sidecars', 'Number of sidecars, each with a back end', 8)
  .option('--rate', 'Requests a second', 120)
  .option('--slots', 'Requests that a back end runs concurrently', 8)
  .option('--folder', 'Folder for settings, logs and data')
  .option('--json', 'Print one JSON object a run')
  .action(async (options: Options) => await requestCostCommand(options));

program
  .command('bench')
  .describe('Compare placement policies and baselines over workloads and seeds.')
  .option('--workload', 'Workload, or all', 'all')
  .option('--seeds', 'Seeds from 1 to this', 5)
  .option('--report', 'File for a page with plots (HTML)')
  .option('--json', 'Print one JSON object as the last line')
  .action(async (options: Options) => await benchCommand(options));

program
  .command('soak')
  .describe("Run the platform's real programs as processes under random troubles, judged while they run.")
  .option('--minutes', 'Time in which seeds are begun', 1)
  .option('--seed', 'First seed; the next ones follow it', 1)
  .option('--count', 'Number of seeds, in place of --minutes')
  .option('--jobs', 'Seeds that run side by side', 3)
  .option('--only', 'Only troubles of this kind')
  .option('--regressions', 'Play the seeds that failed once')
  .option('--folder', 'Folder for settings, logs and data')
  .option('--json', 'Print one JSON object as the last line')
  .action(async (options: Options) => await soakCommand(options));

program
  .command('planned-soak')
  .describe(
    'Stop, reload and reconfigure real daemons under requests of every length, judged by how these end.',
  )
  .option('--seed', 'First seed; the next ones follow it', 1)
  .option('--count', 'Number of seeds', 1)
  .option('--jobs', 'Seeds that run side by side', 1)
  .option('--backends', 'Back ends of each of the two services', 3)
  .option('--only', 'Only planned work of these kinds, separated by commas')
  .option('--folder', 'Folder for settings, logs and data')
  .option('--json', 'Print one JSON object as the last line')
  .action(async (options: Options) => await plannedSoakCommand(options));

program
  .command('change-soak')
  .describe(
    'Change the configuration of real directories under troubles, judged by ends, memory and what is kept.',
  )
  .option('--seed', 'First seed; the next ones follow it', 1)
  .option('--count', 'Number of seeds', 1)
  .option('--jobs', 'Seeds that run side by side', 1)
  .option('--directories', 'Number of directories; drawn from the seed if it is missing')
  .option('--sidecars', 'Number of sidecars, each with a back end', 3)
  .option('--large', 'Run as many processes as a large deployment has')
  .option('--folder', 'Folder for settings, logs and data')
  .option('--json', 'Print one JSON array as the last line')
  .action(async (options: Options) => await changeSoakCommand(options));

program
  .command('large-soak')
  .describe(
    "Run the platform's real programs in the numbers of a deployment, and lose all of them at the end.",
  )
  .option('--seed', 'First seed; the next ones follow it', 1)
  .option('--count', 'Number of seeds', 1)
  .option('--sidecars', 'Number of sidecars, each with a back end', 68)
  .option('--directories', 'Number of replicas of the directory', 5)
  .option('--rate', 'Requests a second', 900)
  .option('--slots', 'Requests that a back end runs concurrently', 18)
  .option('--busy', 'Processes that compete for the processor', 0)
  .option('--folder', 'Folder for settings, logs and data')
  .option('--json', 'Print one JSON object a seed')
  .action(async (options: Options) => await largeSoakCommand(options));

program
  .command('demo')
  .describe('Start the Imigongo deployment, send traffic, kill an owner, and print what happened.')
  .option('--seed', 'Seed of load and faults', 1)
  .action(async (options: Options) => await demoCommand(options));

await runCommandLine(program);
