/**
 * Runs a program whose steady clock stands still while its process is stopped, as it does on a machine that is suspended:
 * the program given first among the arguments, with the others. A stop counts as a suspension if SIGUSR2 came before it.
 */
import { createRequire } from 'node:module';
import { hrtime } from 'node:process';

/** Shortest time between two readings that counts as the stop that was announced, in nanoseconds. */
const LEAST_STOP_NS = 400_000_000n;

const truth = hrtime.bigint.bind(hrtime);
let lostNs = 0n;
let lastNs = truth();
let announced = false;

hrtime.bigint = (): bigint => {
  const nowNs = truth();
  if (announced && nowNs - lastNs >= LEAST_STOP_NS) {
    lostNs += nowNs - lastNs;
    announced = false;
  }
  lastNs = nowNs;
  return nowNs - lostNs;
};

process.on('SIGUSR2', () => {
  announced = true;
});

const [, , program = ''] = process.argv;
process.argv.splice(1, 1);
createRequire(import.meta.url)(program);
