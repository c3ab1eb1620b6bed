/** `aldertide-lab hollow` and the host processes that it starts. */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import {
  numberOption,
  printJson,
  printLine,
  textOption,
  usageError,
  type Options,
} from '../../src/cli/command-line.js';
import { HollowHost } from '../hollow/hollow-host.js';
import type { HollowAnswer, HollowRequest } from '../hollow/hollow-options.js';
import { runHollow } from '../hollow/hollow-run.js';
import { PROGRAMS } from './fleet-commands.js';

const SMALLEST_FLEET = 20;

/** `hollow`: the size of letter 1 on one machine. */
export async function hollowCommand(options: Options): Promise<number> {
  const daemons = numberOption(options, 'daemons', 1_100);
  const shards = numberOption(options, 'shards', 120_000);
  const seconds = numberOption(options, 'seconds', 30);
  const seed = numberOption(options, 'seed', 1);
  if (daemons === null || shards === null || seconds === null || seed === null || daemons < SMALLEST_FLEET) {
    return usageError(`--daemons (at least ${SMALLEST_FLEET}), --shards, --seconds and --seed take numbers`);
  }
  const folder = textOption(options, 'folder') ?? mkdtempSync(join(tmpdir(), 'aldertide-hollow-'));
  const report = await runHollow(
    { daemons, shards, seconds, seed, folder, program: PROGRAMS.aldertide },
    PROGRAMS.lab,
    (line) => void process.stderr.write(`${line}\n`),
  );
  if (options['json'] === true) printJson(report);
  else printLine(JSON.stringify(report, null, 2));
  return report.missedChanges === 0 && report.missedRepairs === 0 ? EXIT_CODE.done : EXIT_CODE.refused;
}

/** `hollow-host`: holds hollow daemons; its driver talks to it over the channel of `child_process.fork`. */
export async function hollowHostCommand(): Promise<number> {
  if (process.send === undefined) return usageError('hollow-host is started by `aldertide-lab hollow`');
  const answer = (message: HollowAnswer): void => void process.send?.(message);
  let host: HollowHost | null = null;
  process.on('message', (request: HollowRequest) => {
    void (async () => {
      if (request.kind === 'start') {
        host = new HollowHost(request.settings);
        await host.start();
        answer({ kind: 'started' });
        return;
      }
      const reading = await host?.handle(request);
      if (reading != null) answer({ kind: 'reading', reading });
    })();
  });
  await new Promise((resolve) => process.once('disconnect', resolve));
  return EXIT_CODE.done;
}
