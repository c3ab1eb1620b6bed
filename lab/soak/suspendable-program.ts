/**
 * Runs a program whose monotonic clock stops while its process is stopped, as on a suspended machine. The first argument is
 * the program, the others are passed on to it. A stop counts as a suspension if SIGUSR2 preceded it.
 */
import { createRequire } from 'node:module';
import { hrtime } from 'node:process';

/** Minimum time in ns between two clock readings that counts as the announced stop. */
const MIN_STOP_NS = 400_000_000n;

const realClock = hrtime.bigint.bind(hrtime);
let suspendedNs = 0n;
let lastReadingNs = realClock();
let announced = false;

hrtime.bigint = (): bigint => {
  const nowNs = realClock();
  if (announced && nowNs - lastReadingNs >= MIN_STOP_NS) {
    suspendedNs += nowNs - lastReadingNs;
    announced = false;
  }
  lastReadingNs = nowNs;
  return nowNs - suspendedNs;
};

process.on('SIGUSR2', () => {
  announced = true;
});

const [, , program = ''] = process.argv;
process.argv.splice(1, 1);
createRequire(import.meta.url)(program);
