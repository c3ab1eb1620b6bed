/** Which requests a back end gets at which runs break off. */
import test from 'ava';
import { BackendTrials } from '../../src/sidecar/circuit-breaker.js';

function brokenTrials(): BackendTrials {
  const trials = new BackendTrials();
  for (let run = 0; run < 4; run += 1) trials.noteRun(true);
  return trials;
}

test('after four broken runs in a row one request is let through every 300 ms', (t) => {
  const trials = brokenTrials();
  t.deepEqual(
    [0, 1, 299, 300, 301].map((ms) => trials.admits(ms)),
    [true, false, false, true, false],
  );
});

test('a run that did not break off, or another life, ends the trial', (t) => {
  const answered = brokenTrials();
  answered.noteRun(false);
  const replaced = brokenTrials();
  replaced.startLife();
  for (const trials of [answered, replaced]) {
    t.true(trials.admits(0));
    t.true(trials.admits(1));
  }
});
