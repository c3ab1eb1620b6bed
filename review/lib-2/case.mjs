/** Runs one case: a deployment, its record and its clean-up, within a time limit. */
import { Fleet, Record } from './fleet.mjs';

/** Time limit of a case in ms; one that takes longer could not run. */
const MAX_CASE_MS = 100_000;

/**
 * Runs `main`, which returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run; ends all processes
 * and exits with that code.
 */
export async function runCase(folder, main) {
  const record = new Record(folder);
  const fleet = new Fleet();
  const endpoints = [];
  const cleanUps = [];
  const context = {
    record,
    fleet,
    endpoints,
    cleanUps,
    stopping: false,
    trouble: process.env.TROUBLE !== '0',
  };
  record.add(context.trouble ? 'with the disruption' : 'without the disruption');
  const timeLimit = new Promise((done) => {
    setTimeout(() => {
      record.add('the time is up');
      done(2);
    }, MAX_CASE_MS).unref();
  });
  const run = main(context).catch((error) => {
    record.add(`failed: ${error.stack}`);
    return 2;
  });
  const code = await Promise.race([run, timeLimit]);
  context.stopping = true;
  for (const cleanUp of cleanUps) await cleanUp();
  for (const endpoint of endpoints) if (endpoint.up) await endpoint.crash();
  await fleet.down();
  record.add(`exit ${code}`);
  record.save();
  console.log(record.lines.slice(-4).join('\n'));
  process.exit(code);
}
