/** `aldertide-lab chain`. */
import { Worker } from 'node:worker_threads';
import { EXIT_CODE } from '../../src/cli/exit-code.js';
import {
  numberOption,
  printJson,
  printLine,
  textOption,
  usageError,
  type Options,
} from '../../src/cli/command-line.js';
import { NARROW_CHAIN, type ChainSpec } from '../chain/chain-spec.js';
import type { ChainResult, ChainTask } from '../chain/chain-worker.js';

const MS_PER_SECOND = 1_000;

/** `chain`. */
export async function chainCommand(options: Options): Promise<number> {
  const load = numberOption(options, 'load', 1);
  const seeds = numberOption(options, 'seeds', 3);
  const seconds = numberOption(options, 'seconds', 12);
  if (load === null || seeds === null || seconds === null || load <= 0 || seeds < 1 || seconds <= 0) {
    return usageError('--load, --seeds and --seconds take numbers above 0');
  }
  const without = textOption(options, 'without') ?? '';
  const spec = chainUnderLoad(load, seconds * MS_PER_SECOND);
  const results = await Promise.all(
    Array.from({ length: seeds }, (_, at) => playInWorker({ spec, seed: at + 1, without })),
  );
  if (options['json'] === true) printJson({ load, without, figures: results.map(({ figures }) => figures) });
  else for (const { figures, lines } of results) printLine([`seed ${figures.seed}`, ...lines].join('\n'));
  return EXIT_CODE.done;
}

function chainUnderLoad(load: number, lengthMs: number): ChainSpec {
  const services = NARROW_CHAIN.services.map((service) => ({
    ...service,
    perSecond: service.perSecond * load,
  }));
  return { ...NARROW_CHAIN, services, lengthMs };
}

async function playInWorker(task: ChainTask): Promise<ChainResult> {
  return await new Promise((resolve, reject) => {
    const worker = new Worker(new URL('../chain/chain-worker.js', import.meta.url), { workerData: task });
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}
